import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as OutlierDetector from '../outlierDetector';

const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];

function createWarm() {
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
  it('ejects the target that is slow beside its peers, and lets it back in with a small share', () => {
    // One engine's machine throttles: its gaps grow from 30 to 150 ms, nothing fails. Every stream
    // sent to it breaks the bound between tokens until it is left out.
    const detector = createWarm();
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

  it('takes a target that fails fast out after three failures', () => {
    // An engine lost its accelerator and refuses each request within a millisecond. It never has work
    // in progress, so by load it is the best choice for every prompt.
    const detector = createWarm();
    for (let index = 0; index < 3; index += 1) detector.recordFailure('b', 3_000 + index);
    expect(detector.getState('b', 3_003)).toEqual('dead');
  });

  it('takes a target out that fails often but not always', () => {
    const detector = createWarm();
    for (let index = 0; index < 40; index += 1) {
      const nowMs = 13_000 + index * 100;
      if (index % 2 === 0) detector.recordFailure('b', nowMs);
      else detector.recordSuccess('b', nowMs);
    }
    expect(detector.getState('b', 17_000)).toEqual('dead');
  });

  it('ejects nobody when all become slow together', () => {
    const detector = createWarm();
    for (let turn = 0; turn < 200; turn += 1) {
      for (const target of TARGETS) {
        detector.recordFirstToken(target, 900, 3_000 + turn * 100);
        detector.recordGap(target, 120, 3_000 + turn * 100);
      }
    }
    expect(detector.listEjected(23_000)).toEqual([]);
  });

  it('keeps half of the targets in use when this router itself is at fault', () => {
    // The router's own network fails, so every target seems to fail. With all of them left out there
    // would be nobody to try when the network is back.
    const detector = createWarm();
    for (const target of TARGETS) {
      for (let index = 0; index < 10; index += 1) detector.recordFailure(target, 3_000 + index);
    }
    expect(detector.listEjected(3_010).length).toEqual(3);
  });

  it('doubles the time out for a target that comes back ill', () => {
    const detector = createWarm();
    const failAt = (nowMs: number) => {
      for (let index = 0; index < 3; index += 1) detector.recordFailure('c', nowMs);
    };
    failAt(3_000);
    expect(detector.getState('c', 5_000)).toEqual('new');
    detector.recordFailure('c', 5_100);
    expect(detector.getState('c', 9_000)).toEqual('dead');
    expect(detector.getState('c', 9_100)).toEqual('new');
  });

  it('warms a replaced target up over ten seconds', () => {
    const detector = createWarm();
    detector.addTarget('d', 3_000);
    expect(detector.getState('d', 3_000)).toEqual('new');
    expect(detector.getWarmShare('d', 8_000)).toEqual(0.55);
    expect(detector.getWarmShare('d', 13_000)).toEqual(1);
  });
});
