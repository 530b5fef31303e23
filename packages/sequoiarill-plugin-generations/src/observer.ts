/** Records the course of generations in logs, metrics and the decision journal. */
import type { Permit, Refused } from '@sequoiarill/decisions';
import type {
  GenerationNotRun,
  GenerationOutcome,
  GenerationRequest,
  PluginContext,
} from '@sequoiarill/types';

import * as AttemptResults from './attemptResults';
import * as Events from './events';
import type { Attempt, GenerationDependencies } from './generation';
import type { Targets } from './targets';

export interface Observer extends Pick<
  GenerationDependencies,
  'onLost' | 'onKept' | 'onBusy' | 'onResumed'
> {
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
  cancelAttempt: (attempt: Attempt) => void,
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
    onLost(attempt, loss) {
      const { requestId } = attempt.request;
      const target = attempt.target.name;
      targets.recordFailure(attempt);
      // The engine may still be generating; cancelling avoids work that nobody reads.
      if (AttemptResults.isSilenceLoss(loss)) cancelAttempt(attempt);
      metrics.addCount('generations.lost', 1, { cause: loss.cause });
      logEvent(Events.GENERATION_LOST, {
        requestId,
        target,
        generation: attempt.generation,
        cause: loss.cause,
        reason: loss.message,
      });
    },
    onKept(attempt) {
      const { requestId } = attempt.request;
      const { generation } = attempt;
      metrics.addCount('generations.kept');
      logEvent(Events.ENGINE_SILENT, { requestId, target: attempt.target.name, generation });
    },
    onBusy(attempt) {
      targets.recordBusy(attempt);
      const { requestId } = attempt.request;
      logEvent(Events.ENGINE_BUSY, { requestId, target: attempt.target.name });
    },
    onResumed(attempt, resumeMs) {
      const { requestId } = attempt.request;
      metrics.recordTiming('generations.resume', resumeMs);
      metrics.addCount('generations.tokensRecomputed', attempt.tokenIds?.length ?? 0);
      journal.recordDecision(requestId, 'continued', 'the next token came from another engine', {
        target: attempt.target.name,
        resumeMs: Math.round(resumeMs),
      });
    },
  };
}
