import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ClientRetryDetectors from '../clientRetryDetector';

function createRetryCheck() {
  const detector = ClientRetryDetectors.createClientRetryDetector();
  return (remainingMs: number) =>
    detector.isClientRetry({ kind: 'booking', remainingMs, objectiveMs: 300 });
}

describe('client retry detection', () => {
  it('recognises a retry by its shorter remaining time', () => {
    // A caller with a timeout of four seconds is refused, and retries a second later with three
    // left.
    const isRetry = createRetryCheck();
    expect(isRetry(4_000)).toEqual(false);
    expect(isRetry(3_900)).toEqual(false);
    expect(isRetry(3_000)).toEqual(true);
  });

  it('treats no request as a retry where callers use different timeouts', () => {
    const isRetry = createRetryCheck();
    for (let index = 0; index < 200; index += 1) isRetry(index % 4 === 0 ? 4_000 : 1_500);
    expect(isRetry(1_500)).toEqual(false);
  });
});
