import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as PromptEstimates from '../promptEstimates';
import * as StreamAdmissions from '../streamAdmission';

const PROMPT_MS = 1_333;

describe('promptEstimates', () => {
  it('estimate the prefill speed and limit the effect of a prompt that waited for another', () => {
    const estimates = PromptEstimates.createPromptEstimates();
    for (let index = 0; index < 100; index += 1) estimates.recordPrefill(8_000, PROMPT_MS);
    const before = estimates.getMsPerToken();
    expect(before).toBeCloseTo(PROMPT_MS / 8_000, 0.005);
    estimates.recordPrefill(8_000, 9_000);
    expect(estimates.getMsPerToken()).toBeLessThan(before * 1.06);
    estimates.recordPrefill(100, 9_000);
    expect(estimates.getMsPerToken()).toBeLessThan(before * 1.06);
  });

  it('learn the speed of fast engines from prompts that waited, and of slow ones from none of these', () => {
    // Engines are full from the first second, so that no prompt is alone; streams are refused as late before they
    // are sent, as long as prefill counts ten times its real duration.
    const estimates = PromptEstimates.createPromptEstimates();
    for (const ms of [200, 150, 400, 120, 5_000, 130, 180, 110]) {
      estimates.recordUpperBound(8_000, ms);
    }
    expect(estimates.getMsPerToken() * 8_000).toBeLessThan(200);
    expect(estimates.getMsPerToken() * 8_000).toBeGreaterThan(110);
  });

  it('estimate the prompt length, so that short prompts do not count as seconds of work', () => {
    // A service has short prompts: two of them ahead of a new one are prefilled within milliseconds. With
    // the default length assumed for each, every stream that met another was refused while load lasted.
    const estimates = PromptEstimates.createPromptEstimates();
    for (let index = 0; index < 20; index += 1) estimates.recordRequest(40);
    const firstEventMs = 3 * estimates.getMeanTokens() * estimates.getMsPerToken();
    const query = { promptsAhead: 2, firstEventMs, objectiveMs: 300 };
    expect(StreamAdmissions.decideStreamAdmission(query)).toEqual({ kind: 'admit' });
  });
});
