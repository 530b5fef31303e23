import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as StreamTimings from '../streamTiming';
import * as Fakes from '../../__tests__/fakeDependencies';

function readTiming(arrivedAtMs: number, pieces: readonly number[]) {
  const timing = StreamTimings.createStreamTiming(arrivedAtMs);
  pieces.forEach(timing.recordEvents);
  return timing.read();
}

describe('the timing of a stream', () => {
  const route = Fakes.createRoute({ objectiveMs: 4_000, maxGapMs: 700 });

  it('tells the first event, the longest pause and when that ended', () => {
    const summary = readTiming(100, [1_100, 1_130, 1_900, 1_950]);
    expect(summary).toEqual({ firstEventMs: 1_000, longestPauseMs: 770, pauseEndedMs: 1_800 });
    expect(StreamTimings.isLate(summary, route)).toEqual(true);
  });

  it('takes a stream inside its objectives for on time', () => {
    expect(StreamTimings.isLate(readTiming(0, [3_900, 4_500]), route)).toEqual(false);
    expect(StreamTimings.isLate(readTiming(0, [4_100]), route)).toEqual(true);
  });
});
