import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as TargetNotices from '../targetNotices';

const TARGET = Fakes.createTarget('one');

function createNotices() {
  const leaving: string[] = [];
  const notices = TargetNotices.createTargetNotices({
    headers: Fakes.HEADER_NAMES,
    directory: {
      findCurrent: (target) => target,
      recordLeaving: ({ id }) => leaving.push(id),
    },
    log: { logEvent: () => undefined },
  });
  function recordHead(status: number, headers: Readonly<Record<string, string>>): void {
    notices.recordHead(TARGET, { status, statusMessage: '', headers });
  }
  return { leaving, recordHead };
}

describe('what a target says of itself', () => {
  it('counts in every answer, whatever its status', () => {
    const { leaving, recordHead } = createNotices();
    [200, 404, 500, 503].forEach((status) => recordHead(status, { leaving: '1' }));
    expect(leaving).toEqual(['one', 'one', 'one', 'one']);
  });

  it('does not count in an answer of another target that has its address now', () => {
    // Guards against a target that is taken out of service by the word of its successor.
    const { leaving, recordHead } = createNotices();
    recordHead(421, { leaving: '1' });
    recordHead(200, { leaving: '1', 'target-id': 'two' });
    expect(leaving).toEqual([]);
  });

  it('is not read from any other value', () => {
    const { leaving, recordHead } = createNotices();
    ['0', '', 'false'].forEach((value) => recordHead(200, { leaving: value }));
    expect(leaving).toEqual([]);
  });
});
