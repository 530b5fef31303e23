import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AnswerDurations from '../answerDurations';

const GRACE_MS = 7_600;

/** Streams of 5 to 8.9 s, in an order that repeats. */
function createStreamMs(index: number): number {
  return 5_000 + ((index * 7) % 14) * 300;
}

describe('durations of answers', () => {
  it('let a router that is stopped take no stream that its end would cut', () => {
    // A router gets its signal, and the balancer sends it new streams for two more seconds. Taken in,
    // most of them are cut at the end of the eight seconds and their callers wait for a new prompt.
    const durations = AnswerDurations.createAnswerDurations();
    for (let index = 0; index < 40; index += 1) {
      durations.recordAnswer('summary', createStreamMs(index));
    }
    let cut = 0;
    for (let index = 0; index < 20; index += 1) {
      const leftMs = GRACE_MS - index * 100;
      const isTaken = durations.getUpperBoundMs('summary', 25_000) <= leftMs;
      if (isTaken && createStreamMs(index) > leftMs) cut += 1;
    }
    expect(cut).toEqual(0);
  });

  it('leave short answers to a router that is stopped', () => {
    const durations = AnswerDurations.createAnswerDurations();
    for (let index = 0; index < 40; index += 1) durations.recordAnswer('booking', 60 + index);
    expect(durations.getUpperBoundMs('booking', 4_000)).toBeLessThan(200);
  });

  it('are the limit of the route while too few answers were seen', () => {
    // A router starts, sees one short stream and gets its signal; it must not take all others for short.
    const durations = AnswerDurations.createAnswerDurations();
    expect(durations.getUpperBoundMs('summary', 25_000)).toEqual(25_000);
    durations.recordAnswer('summary', 3_500);
    expect(durations.getUpperBoundMs('summary', 25_000)).toEqual(25_000);
  });
});
