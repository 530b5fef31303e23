/** Types of a running generation. */
import type { GenerationOutcome, TokenBatch } from '@sequoiarill/types';

export type GenerationRun = AsyncGenerator<TokenBatch, GenerationOutcome, void>;
export type GenerationStep = IteratorResult<TokenBatch, GenerationOutcome>;

/** Outcome if the caller disconnects or cancels before the run reports its own outcome. */
export const CANCELLED: GenerationOutcome = {
  kind: 'cancelled',
  usage: { promptTokens: 0, completionTokens: 0 },
};
