import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AnswerDurations from '../answerDurations';

const GRACE_MS = 7_600;

/** Streams of 5 to 8.9 s in a repeating order. */
function createStreamMs(index: number): number {
  return 5_000 + ((index * 7) % 14) * 300;
}

describe('answer durations', () => {
  it('keep a draining router from accepting streams that its exit would cut off', () => {
    // A router starts to drain, and the load balancer sends it new streams for two more seconds. If
    // it accepted them, most would be cut off after eight seconds and their callers would wait for
    // another prefill.
    const durations = AnswerDurations.createAnswerDurations();
    for (let index = 0; index < 40; index += 1) {
      durations.recordAnswer('summary', createStreamMs(index));
    }
    let cutStreams = 0;
    for (let index = 0; index < 20; index += 1) {
      const remainingMs = GRACE_MS - index * 100;
      const isAdmitted = durations.getUpperBoundMs('summary', 25_000) <= remainingMs;
      if (isAdmitted && createStreamMs(index) > remainingMs) cutStreams += 1;
    }
    expect(cutStreams).toEqual(0);
  });

  it('let a draining router accept short answers', () => {
    const durations = AnswerDurations.createAnswerDurations();
    for (let index = 0; index < 40; index += 1) durations.recordAnswer('booking', 60 + index);
    expect(durations.getUpperBoundMs('booking', 4_000)).toBeLessThan(200);
  });

  it('fall back to the limit of the route while there are too few samples', () => {
    // A router drains shortly after its start, with one short stream seen; it must not expect all
    // streams to be short.
    const durations = AnswerDurations.createAnswerDurations();
    expect(durations.getUpperBoundMs('summary', 25_000)).toEqual(25_000);
    durations.recordAnswer('summary', 3_500);
    expect(durations.getUpperBoundMs('summary', 25_000)).toEqual(25_000);
  });
});
