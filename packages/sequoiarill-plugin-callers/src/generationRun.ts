/** A generation as it runs for one caller. */
import type { GenerationOutcome, TokenBatch } from '@sequoiarill/types';

export type GenerationRun = AsyncGenerator<TokenBatch, GenerationOutcome, void>;
export type GenerationStep = IteratorResult<TokenBatch, GenerationOutcome>;

/** The caller left or cancelled before the run told its own end. */
export const CANCELLED: GenerationOutcome = {
  kind: 'cancelled',
  usage: { promptTokens: 0, completionTokens: 0 },
};
