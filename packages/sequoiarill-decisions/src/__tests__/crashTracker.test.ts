import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CrashTrackers from '../crashTracker';

const MINUTE_MS = 60_000;

function createLedger() {
  const tracker = CrashTrackers.createCrashTracker();
  return {
    ...tracker,
    recordCrashes(content: string, targets: readonly string[], nowMs: number): void {
      targets.forEach((target) => tracker.recordCrash({ content, target, ageMs: 0 }, nowMs));
    },
    isBlocked: (content: string, nowMs: number) => tracker.getBlockedMs(content, nowMs) > 0,
  };
}

describe('the ledger of crashes', () => {
  it('blocks a content once three targets ended under it', () => {
    // Guards against a request that ends target after target.
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1', 't2'], 0);
    expect(tracker.isBlocked('a', 0)).toEqual(false);
    tracker.recordCrashes('a', ['t3'], 10);
    expect(tracker.isBlocked('a', 10)).toEqual(true);
    expect(tracker.isBlocked('b', 10)).toEqual(false);
  });

  it('counts the crash of one life of a target once', () => {
    // Guards against several routers that report the same crash of a sound request.
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1', 't1', 't1', 't1'], 0);
    expect(tracker.isBlocked('a', 0)).toEqual(false);
  });

  it('does not block a content that is answered between crashes', () => {
    // Guards against the refusal of a sound content that is asked for often, beside crashes of any cause.
    const tracker = createLedger();
    for (let round = 0; round < 20; round += 1) {
      const nowMs = round * MINUTE_MS;
      tracker.recordCrashes('a', [`t${round}`, `u${round}`], nowMs);
      expect(tracker.isBlocked('a', nowMs)).toEqual(false);
      tracker.recordAnswer('a', nowMs + 1, nowMs + 1);
    }
  });

  it('blocks a content that crashes targets after it was answered', () => {
    // Guards against an answer from before a new version that the content crashes.
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1'], 0);
    tracker.recordAnswer('a', 1, 1);
    tracker.recordCrashes('a', ['t2', 't3', 't4'], 2);
    expect(tracker.isBlocked('a', 2)).toEqual(true);
  });

  it('frees a content after a time, and blocks it at once when it crashes one more', () => {
    // Guards against a block that never ends, and against three more crashes after each end.
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 0);
    expect(tracker.isBlocked('a', 9 * MINUTE_MS)).toEqual(true);
    expect(tracker.isBlocked('a', 10 * MINUTE_MS)).toEqual(false);
    tracker.recordCrashes('a', ['t4'], 11 * MINUTE_MS);
    expect(tracker.isBlocked('a', 11 * MINUTE_MS)).toEqual(true);
  });

  it('takes back a block that an answer refutes, and knows one that it has refuted', () => {
    // Guards against a sound content that stays refused where nobody has answered it yet.
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 10);
    expect(tracker.recordAnswer('a', 20, 25)).toEqual('block');
    expect(tracker.isBlocked('a', 25)).toEqual(false);
    const told = { content: 'a', firstAgeMs: 20, lastAgeMs: 15 };
    expect(tracker.recordBlock(told, 30)).toEqual('refuted');
    expect(tracker.recordBlock({ ...told, firstAgeMs: 5, lastAgeMs: 0 }, 30)).toEqual('news');
  });

  it('forgets crashes in the end', () => {
    const tracker = createLedger();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 0);
    expect(tracker.isBlocked('a', 31 * MINUTE_MS)).toEqual(false);
    tracker.recordCrashes('a', ['t4'], 31 * MINUTE_MS);
    expect(tracker.isBlocked('a', 31 * MINUTE_MS)).toEqual(false);
  });

  it('keeps a bounded number of contents', () => {
    // Guards against memory that grows with the crashes of a lost zone.
    const tracker = createLedger();
    for (let index = 0; index < 5_000; index += 1) tracker.recordCrashes(`c${index}`, ['t'], 0);
    expect(tracker.countSuspects()).toEqual(1_000);
  });
});
