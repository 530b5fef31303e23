/** Tells logs, metrics and the journal what happens to generations. */
import type { Permit, Refused } from '@sequoiarill/decisions';
import type {
  GenerationNotRun,
  GenerationOutcome,
  GenerationRequest,
  PluginContext,
} from '@sequoiarill/types';

import * as Events from './events';
import type { AttemptOrder, GenerationParts } from './generation';
import type { Targets } from './targets';

export interface Observer extends Pick<GenerationParts, 'onLost' | 'onBusy' | 'onResumed'> {
  readonly recordStart: (request: GenerationRequest, permit: Permit) => void;
  readonly recordRefusal: (request: GenerationRequest, refused: Refused) => GenerationNotRun;
  readonly recordOutcome: (
    request: GenerationRequest,
    outcome: GenerationOutcome,
  ) => GenerationOutcome;
}

export function createObserver(
  context: PluginContext,
  targets: Targets,
  cancelAttempt: (order: AttemptOrder) => void,
): Observer {
  const { journal, metrics, logEvent } = context;
  return {
    recordStart({ requestId }, permit) {
      metrics.addCount('generations.started');
      journal.recordDecision(requestId, 'admitted', 'within its limits', {
        waitedMs: Math.round(permit.waitedMs),
        estimatedTokens: Math.round(permit.cost.tokens),
      });
    },
    recordRefusal({ requestId }, { reason, message, retryAfterSeconds }) {
      metrics.addCount('generations.finished', 1, { outcome: 'notRun' });
      journal.recordDecision(requestId, 'refused', message, { reason, retryAfterSeconds });
      return { kind: 'notRun', reason, message, retryAfterSeconds };
    },
    recordOutcome({ requestId }, outcome) {
      metrics.addCount('generations.finished', 1, { outcome: outcome.kind });
      journal.recordDecision(requestId, 'finished', outcome.kind, { ...outcome });
      if (outcome.kind === 'lost') {
        logEvent(Events.GENERATION_GIVEN_UP, { requestId, reason: outcome.message });
      }
      return outcome;
    },
    onLost(order, loss) {
      const { requestId } = order.request;
      const target = order.target.name;
      targets.recordFailure(order);
      // The engine may still be at work: what it does from now on is for nobody.
      if (loss.cause === 'stalled' || loss.cause === 'noFirstToken') cancelAttempt(order);
      metrics.addCount('generations.lost', 1, { cause: loss.cause });
      logEvent(Events.GENERATION_LOST, {
        requestId,
        target,
        generation: order.generation,
        cause: loss.cause,
        reason: loss.message,
      });
    },
    onBusy(order) {
      targets.recordBusy(order);
      const { requestId } = order.request;
      logEvent(Events.ENGINE_BUSY, { requestId, target: order.target.name });
    },
    onResumed(order, resumeMs) {
      const { requestId } = order.request;
      metrics.recordTiming('generations.resume', resumeMs);
      metrics.addCount('generations.tokensRecomputed', order.tokenIds?.length ?? 0);
      journal.recordDecision(requestId, 'continued', 'the next token came from another engine', {
        target: order.target.name,
        resumeMs: Math.round(resumeMs),
      });
    },
  };
}
