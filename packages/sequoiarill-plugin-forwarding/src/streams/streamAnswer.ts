/**
 * The whole life of a streamed answer, straight down: choose a target, pass on its events, and after a
 * loss choose again and go on after the last whole event that was passed on.
 */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Events from '../events';
import type { ForwardRequest, SendOutcome } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';
import * as Sending from '../answers/sending';
import type { AttemptOutcome } from './streamAttempt';
import * as StreamPlans from './streamPlan';
import type { Plan, Progress, StreamOutcome } from './streamPlan';
import * as StreamRelays from './streamRelay';
import type { StreamPiece } from './streamRelay';

/** Pause before the next try when targets do not take the request, milliseconds. */
const BUSY_PAUSE_MS = 40;
/** Tries after which a refused connection is followed by a pause. */
const FAST_TRIES = 3;

export async function* runStreamAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): AsyncGenerator<StreamPiece, StreamOutcome, void> {
  const { clock } = dependencies;
  const budget = dependencies.getBudget(request.service);
  const progress = StreamPlans.createProgress(request);
  budget.recordRequest(clock.getNowMs());
  for (;;) {
    const plan = await StreamPlans.decidePlan(dependencies, request, progress, budget);
    if (plan.kind !== 'plan') return plan;
    progress.tries += 1;
    const outcome = yield* StreamRelays.relayAttempt(dependencies, request, plan, progress);
    if (outcome.kind === 'notSent' && plan.isRepeat) budget.releaseRetry();
    const end = decideAfter(dependencies, request, plan, progress, outcome);
    if (end !== undefined) return end;
    if (isPauseDue(plan, progress, outcome)) await clock.waitMs(BUSY_PAUSE_MS);
  }
}

/**
 * Failure: all engines refuse connections for a moment, and a stream spends all its tries within some
 * milliseconds. The first few are worth being fast, since the next engine may be up; then time is.
 */
function isPauseDue(plan: Plan, progress: Progress, outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'notRun') return plan.copy === undefined;
  return outcome.kind === 'notSent' && progress.tries > FAST_TRIES;
}

/** Undefined: the stream goes on with another send. */
function decideAfter(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
  outcome: AttemptOutcome,
): StreamOutcome | undefined {
  if (outcome.kind === 'complete') return { ...outcome, wasStarted: progress.hasEvents };
  if (outcome.kind === 'callerLeft') return outcome;
  if (outcome.kind === 'expired') return StreamPlans.decideEnd(progress, 'time is up', true);
  if (outcome.kind === 'whole' && !progress.hasEvents) {
    return { kind: 'answer', head: outcome.head, body: outcome.body };
  }
  updateProgress(dependencies, plan, progress, outcome);
  logContinued(dependencies, request, plan, progress);
  return StreamPlans.isOpenEnded(request, progress)
    ? undefined
    : StreamPlans.decideEnd(progress, progress.lastReason, false);
}

function updateProgress(
  dependencies: ForwardingDependencies,
  plan: Plan,
  progress: Progress,
  outcome: Exclude<AttemptOutcome, { kind: 'complete' | 'callerLeft' | 'expired' }>,
): void {
  const { target, copy } = plan;
  progress.lastReason =
    outcome.kind === 'handedOver' ? 'its target is to stop' : Sending.formatReason(outcome);
  progress.lastTarget = target.id;
  progress.excluded.add(target.id);
  if (StreamRelays.hasRun(outcome)) progress.runs += 1;
  else if (copy !== undefined) progress.copy = undefined;
  if (outcome.kind !== 'notSent') progress.arrivals += 1;
  if (outcome.kind !== 'handedOver') recordOutcome(dependencies, target, outcome);
  dependencies.metrics.addCount(Metrics.CONTINUED, 1, { cause: outcome.kind });
}

function recordOutcome(
  dependencies: ForwardingDependencies,
  target: ForwardingTarget,
  outcome: Exclude<SendOutcome, { kind: 'callerLeft' | 'expired' }>,
): void {
  if (outcome.kind === 'notRun') Sending.recordNotRun(dependencies, target, outcome.status);
  else if (outcome.kind === 'whole') dependencies.registry.recordFailure(target);
  else dependencies.registry.recordLoss(target);
  if (outcome.kind === 'lost' && outcome.isTimeout) dependencies.renewConnections(target);
}

function logContinued(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { target, copy }: Plan,
  progress: Progress,
): void {
  dependencies.log.logEvent(Events.STREAM_CONTINUED, {
    request: request.id,
    content: request.contentKey,
    target: target.id,
    zone: target.zone,
    reason: progress.lastReason,
    lastEventId: progress.lastEventId,
    hadCopy: copy !== undefined,
    copyAt: progress.copy?.keeper.id,
    afterMs: Math.round(dependencies.clock.getNowMs() - request.arrivedAtMs),
  });
}
