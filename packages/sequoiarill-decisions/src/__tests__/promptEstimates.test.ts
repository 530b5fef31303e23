import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as PromptEstimates from '../promptEstimates';
import * as StreamAdmissions from '../streamAdmission';

const PROMPT_MS = 1_333;

describe('estimates of prompts', () => {
  it('learn the speed of prefill, for which a prompt that met another counts for little', () => {
    const speed = PromptEstimates.createPromptEstimates();
    for (let index = 0; index < 100; index += 1) speed.recordPrefill(8_000, PROMPT_MS);
    const before = speed.getMsPerToken();
    expect(before).toBeCloseTo(PROMPT_MS / 8_000, 0.005);
    speed.recordPrefill(8_000, 9_000);
    expect(speed.getMsPerToken()).toBeLessThan(before * 1.06);
    speed.recordPrefill(100, 9_000);
    expect(speed.getMsPerToken()).toBeLessThan(before * 1.06);
  });

  it('learn the size of prompts, so that short ones are not taken for seconds of work', () => {
    // A service of short prompts: two before a new one are read within some milliseconds. Taken for usual
    // long ones, every stream that met another was refused, for as long as its callers came.
    const estimates = PromptEstimates.createPromptEstimates();
    for (let index = 0; index < 20; index += 1) estimates.recordRequest(40);
    const firstEventMs = 3 * estimates.getMeanTokens() * estimates.getMsPerToken();
    const question = { promptsAhead: 2, firstEventMs, objectiveMs: 300 };
    expect(StreamAdmissions.decideStreamAdmission(question)).toEqual({ kind: 'admit' });
  });
});
