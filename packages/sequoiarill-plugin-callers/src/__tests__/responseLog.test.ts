import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cursors from '../cursors';
import * as ResponseLogs from '../responseLog';
import * as ResponseStores from '../responseStore';
import { settingsSchema } from '../settings';

const CLOCK = {
  getNowMs: () => 0,
  getRunningMs: () => 0,
  getLastDelay: () => undefined,
  getReadDelayMs: () => 0,
  getWallTime: () => '2026-01-01T00:00:00.000Z',
  waitMs: async () => undefined,
};

describe('response log', () => {
  it('drops only events that every reader has read', () => {
    // Two readers follow one answer, one of them far behind. Dropping what only the fast reader has
    // read would leave a gap for the slow one.
    const log = ResponseLogs.createResponseLog(() => undefined);
    const fastReader = log.openReader(0);
    const slowReader = log.openReader(0);
    log.addEvent('one ');
    expect(slowReader.readNextEvents()).toEqual('one ');
    log.addEvent('two ');
    log.addEvent('three ');
    expect(fastReader.readNextEvents()).toEqual('one two three ');
    log.removeReadEvents(0);
    expect([log.getFirstSequence(), log.getNextSequence()]).toEqual([1, 3]);
    expect(slowReader.readNextEvents()).toEqual('two three ');
  });

  it('keeps all events while there is no reader', () => {
    // The caller is reconnecting. Events that it has not read yet are stored nowhere else.
    const log = ResponseLogs.createResponseLog(() => undefined);
    log.addEvent('one ');
    log.removeReadEvents(0);
    expect(log.openReader(0).readNextEvents()).toEqual('one ');
  });

  it('counts retained bytes, not characters', () => {
    let bytes = 0;
    const log = ResponseLogs.createResponseLog((change) => {
      bytes += change;
    });
    const reader = log.openReader(0);
    log.addEvent('ð');
    log.addEvent('ab');
    expect([bytes, log.getBytes(), log.getBacklogBytes()]).toEqual([4, 4, 4]);
    reader.readNextEvents();
    expect(log.getBacklogBytes()).toEqual(0);
    log.removeReadEvents(2);
    expect([bytes, log.getBytes()]).toEqual([2, 2]);
  });
});

describe('capacity for a generation', () => {
  const settings = { ...settingsSchema.parse({}), maxResponseBytes: 100, maxRetainedBytes: 250 };

  it('is exhausted when there is no reader and the response exceeds its limit', () => {
    // A caller disconnects from a very long answer for the full grace period. The retained events
    // must stay within the limit of the response instead of filling the router's memory.
    const store = ResponseStores.createResponseStore(settings, CLOCK);
    const log = ResponseLogs.createResponseLog(store.recordSizeChange);
    log.addEvent('x'.repeat(100));
    expect(store.hasCapacity(log)).toEqual(true);
    log.addEvent('x');
    expect(store.hasCapacity(log)).toEqual(false);
    log.openReader(0).readNextEvents();
    expect(store.hasCapacity(log)).toEqual(true);
    expect(log.getBytes() <= 100).toEqual(true);
  });

  it('is left only for responses with a reader when all responses exceed the total limit', () => {
    const store = ResponseStores.createResponseStore(settings, CLOCK);
    const logs = [1, 2, 3].map(() => ResponseLogs.createResponseLog(store.recordSizeChange));
    logs.forEach((log) => log.addEvent('x'.repeat(100)));
    const [logWithoutReader, , logWithReader] = logs;
    logWithReader?.openReader(0).readNextEvents();
    expect(logWithoutReader && store.hasCapacity(logWithoutReader)).toEqual(false);
    expect(logWithReader && store.hasCapacity(logWithReader)).toEqual(true);
    expect(logWithReader?.getBytes()).toEqual(0);
    expect(logWithoutReader && store.hasCapacity(logWithoutReader)).toEqual(true);
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

  it('is accepted by every router with the same key', () => {
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
