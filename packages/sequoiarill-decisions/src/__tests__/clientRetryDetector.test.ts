import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ClientRetryDetectors from '../clientRetryDetector';

function createCheck() {
  const detector = ClientRetryDetectors.createClientRetryDetector();
  return (givenMs: number) =>
    detector.isClientRetry({ kind: 'booking', remainingMs: givenMs, objectiveMs: 300 });
}

describe('callers that come back', () => {
  it('are known by the time that they still give', () => {
    // A caller that gives four seconds is refused, and comes back a second later with three.
    const check = createCheck();
    expect(check(4_000)).toEqual(false);
    expect(check(3_900)).toEqual(false);
    expect(check(3_000)).toEqual(true);
  });

  it('are not told from others where callers give different times', () => {
    const check = createCheck();
    for (let index = 0; index < 200; index += 1) check(index % 4 === 0 ? 4_000 : 1_500);
    expect(check(1_500)).toEqual(false);
  });
});
