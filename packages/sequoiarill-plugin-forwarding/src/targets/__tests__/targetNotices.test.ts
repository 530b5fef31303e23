import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as TargetNotices from '../targetNotices';

const TARGET = Fakes.createTarget('one');

function createNotices() {
  const leaving: string[] = [];
  const clock = Kernel.createFakeClock();
  const notices = TargetNotices.createTargetNotices({
    paths: { recordHeard: () => undefined, recordStart: () => () => undefined },
    brittle: { recordHead: () => undefined },
    headers: Fakes.HEADER_NAMES,
    directory: {
      findCurrent: () => TARGET,
      recordLeaving: ({ id }) => leaving.push(id),
    },
    clock,
    nextRandom: () => 0.5,
    log: { logEvent: () => undefined },
    metrics: { addCount: () => undefined },
  });
  function recordHead(status: number, headers: Readonly<Record<string, string>>): void {
    notices.recordHead(TARGET, { status, statusMessage: '', headers });
  }
  return { leaving, notices, clock, recordHead };
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

  it('keeps it at rest for the time that its refusals ask for, and not longer', async () => {
    const { notices, clock, recordHead } = createNotices();
    recordHead(503, { 'retry-after': '2.5' });
    await clock.runFor(2_499);
    expect(notices.isResting(TARGET)).toEqual(true);
    await clock.runFor(300);
    expect(notices.isResting(TARGET)).toEqual(false);
  });

  it('does not end a rest when a later refusal asks for a shorter one', () => {
    // Guards against requests within the longer time because two refusals crossed on their way.
    const { notices, recordHead } = createNotices();
    recordHead(503, { 'retry-after': '30' });
    recordHead(503, { 'retry-after': '1' });
    expect(notices.getRestMs(TARGET)).toBeGreaterThan(29_999);
  });

  it('asks for no rest with an unreadable time, another status or from another target', () => {
    const { notices, recordHead } = createNotices();
    ['', 'soon', '-1', '0', 'NaN', 'Infinity'].forEach((text) =>
      recordHead(503, { 'retry-after': text }),
    );
    recordHead(200, { 'retry-after': '30' });
    recordHead(421, { 'retry-after': '30' });
    recordHead(503, { 'retry-after': '30', 'target-id': 'two' });
    expect(notices.isResting(TARGET)).toEqual(false);
  });

  it('asks for no rest on behalf of its next incarnation', () => {
    const { notices, recordHead } = createNotices();
    recordHead(503, { 'retry-after': '30' });
    expect(notices.isResting({ ...TARGET, startedAtUnixMs: 2 })).toEqual(false);
  });
});
