import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Random from '../simulation/random';
import * as StreamAdmissions from '../streamAdmission';

const ENGINES = 17;
const PROMPT_MS = 1_333;
const OBJECTIVE_MS = 4_500;
const DURATION_MS = 60_000;

/**
 * Simulates engines that prefill one prompt after the other. Each admitted prompt goes to the one of six
 * queried engines with the shortest wait. Counts the streams that begin on time, late, or not at all.
 */
function simulateEngines(promptsPerSecond: number, hasAdmission: boolean) {
  const nextRandom = Random.createRandom(11);
  const freeAtMs = new Array<number>(ENGINES).fill(0);
  let onTime = 0;
  let late = 0;
  let refused = 0;
  const gapMs = 1_000 / promptsPerSecond;
  let lastMs = 0;
  while (lastMs < DURATION_MS) {
    const nowMs = lastMs + Random.sampleExponential(nextRandom, gapMs);
    lastMs = nowMs;
    const queried = Array.from({ length: 6 }, () => Math.floor(nextRandom() * ENGINES));
    const waits = queried.map((engine) => Math.max(0, (freeAtMs[engine] ?? 0) - nowMs));
    const waitMs = Math.min(...waits);
    const engine = queried[waits.indexOf(waitMs)] ?? 0;
    const firstEventMs = waitMs + PROMPT_MS;
    const promptsAhead = Math.ceil(waitMs / PROMPT_MS);
    const query = { promptsAhead, firstEventMs, objectiveMs: OBJECTIVE_MS };
    const admission = StreamAdmissions.decideStreamAdmission(query);
    if (hasAdmission && admission.kind === 'refuse') refused += 1;
    else {
      freeAtMs[engine] = nowMs + firstEventMs;
      if (firstEventMs <= OBJECTIVE_MS) onTime += 1;
      else late += 1;
    }
  }
  return { onTime, late, refused };
}

describe('streamAdmission', () => {
  it('keeps first events on time when prompts arrive faster than they are prefilled', () => {
    // A third of the engines is missing. All prompts queue for longer than the objective, so nearly every
    // first event is late, and each of these streams still slows the others.
    const withoutAdmission = simulateEngines(15, false);
    const withAdmission = simulateEngines(15, true);
    expect(withoutAdmission.late).toBeGreaterThan(withoutAdmission.onTime);
    expect(withAdmission.late).toEqual(0);
    expect(withAdmission.onTime).toBeGreaterThan(withoutAdmission.onTime * 1.5);
    expect(simulateEngines(8, true).refused).toEqual(0);
  });

  it('asks callers to retry when the prompts ahead of theirs will have been prefilled', () => {
    const query = { promptsAhead: 4, firstEventMs: 5_700, objectiveMs: 4_500 };
    expect(StreamAdmissions.decideStreamAdmission(query)).toEqual({
      kind: 'refuse',
      retryAfterSeconds: 3,
    });
  });

  it('never refuses a long prompt that waits for no other', () => {
    const query = { promptsAhead: 0, firstEventMs: 6_000, objectiveMs: 4_500 };
    expect(StreamAdmissions.decideStreamAdmission(query)).toEqual({ kind: 'admit' });
  });
});
