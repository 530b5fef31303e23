import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Random from '../simulation/random';
import * as StreamAdmissions from '../streamAdmission';

const ENGINES = 17;
const PROMPT_MS = 1_333;
const OBJECTIVE_MS = 4_500;
const LENGTH_MS = 60_000;

/**
 * Engines that read one prompt after the other, between the events of their streams. Each prompt goes
 * to the one of six asked engines that has the fewest before it, if it is let in. Counts streams that
 * begin on time, and those that do not.
 */
function playEngines(promptsPerSecond: number, hasDoor: boolean) {
  const nextRandom = Random.createRandom(11);
  const freeAtMs = new Array<number>(ENGINES).fill(0);
  let onTime = 0;
  let late = 0;
  let refused = 0;
  const gapMs = 1_000 / promptsPerSecond;
  let lastMs = 0;
  while (lastMs < LENGTH_MS) {
    const nowMs = lastMs + Random.sampleExponential(nextRandom, gapMs);
    lastMs = nowMs;
    const asked = Array.from({ length: 6 }, () => Math.floor(nextRandom() * ENGINES));
    const waits = asked.map((engine) => Math.max(0, (freeAtMs[engine] ?? 0) - nowMs));
    const waitMs = Math.min(...waits);
    const engine = asked[waits.indexOf(waitMs)] ?? 0;
    const firstEventMs = waitMs + PROMPT_MS;
    const promptsAhead = Math.ceil(waitMs / PROMPT_MS);
    const question = { promptsAhead, firstEventMs, objectiveMs: OBJECTIVE_MS };
    const admission = StreamAdmissions.decideStreamAdmission(question);
    if (hasDoor && admission.kind === 'refuse') refused += 1;
    else {
      freeAtMs[engine] = nowMs + firstEventMs;
      if (firstEventMs <= OBJECTIVE_MS) onTime += 1;
      else late += 1;
    }
  }
  return { onTime, late, refused };
}

describe('the door before engines', () => {
  it('keeps first events on time when prompts come faster than they are read', () => {
    // A third of the engines is missing. All prompts queue for longer than their callers accept, so
    // nearly every first event is late, and each of these streams slows the others all the same.
    const without = playEngines(15, false);
    const withDoor = playEngines(15, true);
    expect(without.late).toBeGreaterThan(without.onTime);
    expect(withDoor.late).toEqual(0);
    expect(withDoor.onTime).toBeGreaterThan(without.onTime * 1.5);
    expect(playEngines(8, true).refused).toEqual(0);
  });

  it('tells callers to come back when the prompts before theirs will have been read', () => {
    const question = { promptsAhead: 4, firstEventMs: 5_700, objectiveMs: 4_500 };
    expect(StreamAdmissions.decideStreamAdmission(question)).toEqual({
      kind: 'refuse',
      retryAfterSeconds: 3,
    });
  });

  it('never refuses a long prompt that waits for no other', () => {
    const question = { promptsAhead: 0, firstEventMs: 6_000, objectiveMs: 4_500 };
    expect(StreamAdmissions.decideStreamAdmission(question)).toEqual({ kind: 'admit' });
  });
});
