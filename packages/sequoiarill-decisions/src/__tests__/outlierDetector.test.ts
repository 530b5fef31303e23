import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as OutlierDetector from '../outlierDetector';

const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];

function createWarmDetector() {
  const detector = OutlierDetector.createOutlierDetector();
  for (let turn = 0; turn < 30; turn += 1) {
    for (const target of TARGETS) {
      detector.recordFirstToken(target, 100, turn * 100);
      detector.recordGap(target, 30, turn * 100);
      detector.recordSuccess(target, turn * 100);
    }
  }
  return detector;
}

describe('outlierDetector', () => {
  it('ejects a target that is slower than its peers and readmits it with a small share', () => {
    // The machine of one engine throttles: its gaps grow from 30 to 150 ms, but nothing fails. Every
    // stream sent to it exceeds the limit on the gap between tokens until it is ejected.
    const detector = createWarmDetector();
    let nowMs = 3_000;
    while (detector.getState('a', nowMs) === 'healthy' && nowMs < 20_000) {
      nowMs += 100;
      detector.recordGap('a', 150, nowMs);
    }
    expect(detector.getState('a', nowMs)).toEqual('slow');
    expect(nowMs <= 4_500).toEqual(true);
    expect(detector.getState('a', nowMs + 2_001)).toEqual('new');
    expect(detector.getWarmShare('a', nowMs + 2_001) < 0.15).toEqual(true);
    expect(detector.getState('a', nowMs + 12_100)).toEqual('healthy');
  });

  it('ejects a target that fails fast after three failures', () => {
    // An engine lost its accelerator and refuses each request within a millisecond. It never has work
    // in progress, so by load it would be chosen for every prompt.
    const detector = createWarmDetector();
    for (let index = 0; index < 3; index += 1) detector.recordFailure('b', 3_000 + index);
    expect(detector.getState('b', 3_003)).toEqual('dead');
  });

  it('ejects a target that fails often but not always', () => {
    const detector = createWarmDetector();
    for (let index = 0; index < 40; index += 1) {
      const nowMs = 13_000 + index * 100;
      if (index % 2 === 0) detector.recordFailure('b', nowMs);
      else detector.recordSuccess('b', nowMs);
    }
    expect(detector.getState('b', 17_000)).toEqual('dead');
  });

  it('ejects no target when all become slow together', () => {
    const detector = createWarmDetector();
    for (let turn = 0; turn < 200; turn += 1) {
      for (const target of TARGETS) {
        detector.recordFirstToken(target, 900, 3_000 + turn * 100);
        detector.recordGap(target, 120, 3_000 + turn * 100);
      }
    }
    expect(detector.listEjected(23_000)).toEqual([]);
  });

  it('keeps half of the targets in use when this router itself is at fault', () => {
    // The router's own network fails, so every target appears to fail. If all were ejected, none would be
    // left to use when the network recovers.
    const detector = createWarmDetector();
    for (const target of TARGETS) {
      for (let index = 0; index < 10; index += 1) detector.recordFailure(target, 3_000 + index);
    }
    expect(detector.listEjected(3_010).length).toEqual(3);
  });

  it('doubles the ejection time of a target that still fails when readmitted', () => {
    const detector = createWarmDetector();
    const failAt = (nowMs: number) => {
      for (let index = 0; index < 3; index += 1) detector.recordFailure('c', nowMs);
    };
    failAt(3_000);
    expect(detector.getState('c', 5_000)).toEqual('new');
    detector.recordFailure('c', 5_100);
    expect(detector.getState('c', 9_000)).toEqual('dead');
    expect(detector.getState('c', 9_100)).toEqual('new');
  });

  it('warms up a replaced target over ten seconds', () => {
    const detector = createWarmDetector();
    detector.addTarget('d', 3_000);
    expect(detector.getState('d', 3_000)).toEqual('new');
    expect(detector.getWarmShare('d', 8_000)).toEqual(0.55);
    expect(detector.getWarmShare('d', 13_000)).toEqual(1);
  });
});
