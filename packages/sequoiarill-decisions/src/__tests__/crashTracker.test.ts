import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as CrashTrackers from '../crashTracker';

const MINUTE_MS = 60_000;

function createTracker() {
  const tracker = CrashTrackers.createCrashTracker();
  return {
    ...tracker,
    recordCrashes(content: string, targets: readonly string[], nowMs: number): void {
      targets.forEach((target) => tracker.recordCrash({ content, target, ageMs: 0 }, nowMs));
    },
    isBlocked: (content: string, nowMs: number) => tracker.getBlockedMs(content, nowMs) > 0,
  };
}

describe('crash tracker', () => {
  it('blocks a content after crashes of three targets', () => {
    // Guards against a request that crashes one target after the other.
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1', 't2'], 0);
    expect(tracker.isBlocked('a', 0)).toEqual(false);
    tracker.recordCrashes('a', ['t3'], 10);
    expect(tracker.isBlocked('a', 10)).toEqual(true);
    expect(tracker.isBlocked('b', 10)).toEqual(false);
  });

  it('counts the crash of one target incarnation once', () => {
    // Guards against several routers that report the same crash for a harmless request.
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1', 't1', 't1', 't1'], 0);
    expect(tracker.isBlocked('a', 0)).toEqual(false);
  });

  it('does not block a content that is answered between crashes', () => {
    // Guards against blocking a harmless content that is requested often while targets crash for
    // other causes.
    const tracker = createTracker();
    for (let round = 0; round < 20; round += 1) {
      const nowMs = round * MINUTE_MS;
      tracker.recordCrashes('a', [`t${round}`, `u${round}`], nowMs);
      expect(tracker.isBlocked('a', nowMs)).toEqual(false);
      tracker.recordAnswer('a', nowMs + 1, nowMs + 1);
    }
  });

  it('blocks a content that crashes targets after it was answered', () => {
    // Guards against an old answer that protects a content which crashes a new version of the
    // targets.
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1'], 0);
    tracker.recordAnswer('a', 1, 1);
    tracker.recordCrashes('a', ['t2', 't3', 't4'], 2);
    expect(tracker.isBlocked('a', 2)).toEqual(true);
  });

  it('ends a block after some time, and blocks again at the next crash', () => {
    // Guards against a block that never ends, and against three more crashes after each block.
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 0);
    expect(tracker.isBlocked('a', 9 * MINUTE_MS)).toEqual(true);
    expect(tracker.isBlocked('a', 10 * MINUTE_MS)).toEqual(false);
    tracker.recordCrashes('a', ['t4'], 11 * MINUTE_MS);
    expect(tracker.isBlocked('a', 11 * MINUTE_MS)).toEqual(true);
  });

  it('lifts a block that an answer refutes, and rejects a report of a refuted block', () => {
    // Guards against a harmless content that stays blocked at routers that have not seen an answer
    // to it.
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 10);
    expect(tracker.recordAnswer('a', 20, 25)).toEqual('block');
    expect(tracker.isBlocked('a', 25)).toEqual(false);
    const reportedBlock = { content: 'a', firstAgeMs: 20, lastAgeMs: 15 };
    expect(tracker.recordBlock(reportedBlock, 30)).toEqual('refuted');
    expect(tracker.recordBlock({ ...reportedBlock, firstAgeMs: 5, lastAgeMs: 0 }, 30)).toEqual(
      'news',
    );
  });

  it('discards crashes after the retention time', () => {
    const tracker = createTracker();
    tracker.recordCrashes('a', ['t1', 't2', 't3'], 0);
    expect(tracker.isBlocked('a', 31 * MINUTE_MS)).toEqual(false);
    tracker.recordCrashes('a', ['t4'], 31 * MINUTE_MS);
    expect(tracker.isBlocked('a', 31 * MINUTE_MS)).toEqual(false);
  });

  it('keeps a bounded number of contents', () => {
    // Guards against unbounded memory use during the crashes of a lost zone.
    const tracker = createTracker();
    for (let index = 0; index < 5_000; index += 1) tracker.recordCrashes(`c${index}`, ['t'], 0);
    expect(tracker.countSuspects()).toEqual(1_000);
  });
});
