import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cursors from '../cursors';
import * as ResponseLogs from '../responseLog';
import * as ResponseStores from '../responseStore';
import { settingsSchema } from '../settings';

const CLOCK = {
  getNowMs: () => 0,
  getRunningMs: () => 0,
  getWallTime: () => '2026-01-01T00:00:00.000Z',
  waitMs: async () => undefined,
};

describe('the log of a response', () => {
  it('drops only what every reader has taken', () => {
    // Two windows show one answer, one of them far behind. Dropping what the quick one has taken
    // would leave a hole in the slow one.
    const log = ResponseLogs.createResponseLog(() => undefined);
    const quick = log.openReader(0);
    const slow = log.openReader(0);
    log.addEvent('one ');
    expect(slow.takeEvents()).toEqual('one ');
    log.addEvent('two ');
    log.addEvent('three ');
    expect(quick.takeEvents()).toEqual('one two three ');
    log.removeTaken(0);
    expect([log.getFirstSequence(), log.getNextSequence()]).toEqual([1, 3]);
    expect(slow.takeEvents()).toEqual('two three ');
  });

  it('keeps everything while nobody reads', () => {
    // The caller is between two connections. What it has not read yet exists nowhere else.
    const log = ResponseLogs.createResponseLog(() => undefined);
    log.addEvent('one ');
    log.removeTaken(0);
    expect(log.openReader(0).takeEvents()).toEqual('one ');
  });

  it('counts the bytes kept, also those of other scripts', () => {
    let bytes = 0;
    const log = ResponseLogs.createResponseLog((change) => {
      bytes += change;
    });
    const reader = log.openReader(0);
    log.addEvent('ð');
    log.addEvent('ab');
    expect([bytes, log.getBytes(), log.getBacklogBytes()]).toEqual([4, 4, 4]);
    reader.takeEvents();
    expect(log.getBacklogBytes()).toEqual(0);
    log.removeTaken(2);
    expect([bytes, log.getBytes()]).toEqual([2, 2]);
  });
});

describe('room for a generation', () => {
  const settings = { ...settingsSchema.parse({}), maxResponseBytes: 100, maxRetainedBytes: 250 };

  it('ends when nobody reads and the response is at its bound', () => {
    // A caller leaves a very long answer for the whole grace. Its events may fill their bound, not
    // the memory of the router.
    const store = ResponseStores.createResponseStore(settings, CLOCK);
    const log = ResponseLogs.createResponseLog(store.recordBytes);
    log.addEvent('x'.repeat(100));
    expect(store.hasRoom(log)).toEqual(true);
    log.addEvent('x');
    expect(store.hasRoom(log)).toEqual(false);
    log.openReader(0).takeEvents();
    expect(store.hasRoom(log)).toEqual(true);
    expect(log.getBytes() <= 100).toEqual(true);
  });

  it('is given to those who read when all responses together are at their bound', () => {
    const store = ResponseStores.createResponseStore(settings, CLOCK);
    const logs = [1, 2, 3].map(() => ResponseLogs.createResponseLog(store.recordBytes));
    logs.forEach((log) => log.addEvent('x'.repeat(100)));
    const [left, , read] = logs;
    read?.openReader(0).takeEvents();
    expect(left && store.hasRoom(left)).toEqual(false);
    expect(read && store.hasRoom(read)).toEqual(true);
    expect(read?.getBytes()).toEqual(0);
    expect(left && store.hasRoom(left)).toEqual(true);
  });
});

describe('a cursor', () => {
  const KEY = 'ab'.repeat(32);
  const cursor: Cursors.Cursor = {
    requestId: 'resp_1',
    organisation: 'shop',
    sequence: 7,
    position: { generation: 2, tokenOffset: 130, target: 'engine-1', fence: 9 },
  };

  it('is read by every router that has the key', () => {
    const text = Cursors.createCursorSigner(KEY).signCursor(cursor);
    expect(Cursors.createCursorSigner(KEY).verifyCursor(text)).toEqual(cursor);
    expect(Cursors.createCursorSigner('cd'.repeat(32)).verifyCursor(text)).toEqual(undefined);
    expect(Cursors.createCursorSigner(undefined).verifyCursor(text)).toEqual(undefined);
  });

  it('is refused with any character changed', () => {
    const signer = Cursors.createCursorSigner(KEY);
    const text = signer.signCursor(cursor);
    const changed = [...text].map(
      (character, index) =>
        text.slice(0, index) + (character === 'A' ? 'B' : 'A') + text.slice(index + 1),
    );
    expect(changed.filter((one) => signer.verifyCursor(one) !== undefined)).toEqual([]);
  });
});
