/**
 * Runs a streamed answer from start to end: chooses a target, relays its events, and after a loss
 * chooses another target and continues after the last complete event that was relayed.
 */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as CrashGuards from '../crashes/crashGuard';
import * as Events from '../events';
import type { ForwardRequest, SendOutcome } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';
import * as LateArrivals from '../answers/lateArrivals';
import * as Sending from '../answers/sending';
import type { AttemptOutcome } from './streamAttempt';
import * as RelayedStreams from './relayedStream';
import * as ResumedStreams from './resumedStream';
import * as StreamEnds from './streamEnds';
import * as StreamPlans from './streamPlan';
import type { Plan, Progress, StreamOutcome } from './streamPlan';
import * as StreamRelays from './streamRelay';
import type { StreamPiece } from './streamRelay';
import * as StreamUrgency from './streamUrgency';
import * as Takeovers from './takeover';

/** Delay before the next try when targets do not accept the request. */
const RETRY_DELAY_MS = 40;
/** Tries after which a refused connection is followed by a delay. */
const MAX_IMMEDIATE_TRIES = 3;
const STOPPING_REASON = 'it waits at its target, and this process is about to end';

/** Outcomes after which nothing more is sent. */
type EndOfStream = 'complete' | 'callerLeft' | 'expired' | 'outOfTime' | 'withdrawn';

export async function* runStreamAnswer(
  dependencies: ForwardingDependencies,
  received: ForwardRequest,
): AsyncGenerator<StreamPiece, StreamOutcome, void> {
  const { clock } = dependencies;
  const resumed = await ResumedStreams.findOrigin(dependencies, received);
  if (resumed.kind !== 'begun') return resumed;
  const { request } = resumed;
  const budget = dependencies.getBudget(request.service);
  const urgency = StreamUrgency.recordArrival(dependencies, request);
  const progress = StreamPlans.createProgress(request, urgency);
  // The router of the caller counts the requests that it sends on.
  if (request.relayTerms === undefined) budget.recordRequest(clock.getNowMs());
  const takeover = Takeovers.createTakeover(dependencies, request, progress, budget);
  for (;;) {
    const plan = await StreamPlans.decidePlan(dependencies, request, progress, budget);
    if (plan.kind === 'relay') {
      const end = yield* runRelayedSend(dependencies, request, progress, plan.isRetry);
      if (end !== undefined) return end;
      continue;
    }
    if (plan.kind !== 'plan') return plan;
    progress.tries += 1;
    if (plan.isRetry) {
      LateArrivals.recordRepeat(dependencies, request, progress.late, progress.deliveries);
    }
    const outcome = yield* StreamRelays.relayAttempt(
      dependencies,
      request,
      plan,
      progress,
      takeover,
    );
    dependencies.waits.wakeFirst(request.service);
    if (outcome.kind === 'notSent' && plan.isRetry) budget.releaseRetry();
    const end = decideNext(dependencies, request, plan, progress, outcome);
    if (end !== undefined) return end;
    if (isDelayDue(plan, progress, outcome)) await clock.waitMs(RETRY_DELAY_MS);
  }
}

/** Undefined where the stream continues with another send, here or through another router. */
async function* runRelayedSend(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
  isRetry: boolean,
): AsyncGenerator<StreamPiece, StreamOutcome | undefined, void> {
  progress.tries += 1;
  if (isRetry) LateArrivals.recordRepeat(dependencies, request, progress.late, progress.deliveries);
  const outcome = yield* RelayedStreams.relayThroughRouters(dependencies, request, progress);
  if (outcome.kind === 'untaken' && isRetry) {
    dependencies.getBudget(request.service).releaseRetry();
  }
  const end = RelayedStreams.decideEnd(request, progress, outcome);
  if (end === undefined && outcome.kind === 'refused') {
    await dependencies.clock.waitMs(RETRY_DELAY_MS);
  }
  return end;
}

/**
 * Failure: all engines refuse connections for a moment, and a stream uses up its tries within a few
 * milliseconds. So the first tries follow at once, since the next engine may be up, and later ones
 * wait.
 */
function isDelayDue(plan: Plan, progress: Progress, outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'notRun') return plan.copy === undefined;
  return outcome.kind === 'notSent' && progress.tries > MAX_IMMEDIATE_TRIES;
}

/** Undefined where the stream continues with another send. */
function decideNext(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  plan: Plan,
  progress: Progress,
  outcome: AttemptOutcome,
): StreamOutcome | undefined {
  if (outcome.kind === 'complete') return { ...outcome, wasStarted: progress.hasEvents };
  if (outcome.kind === 'callerLeft') return outcome;
  if (outcome.kind === 'expired' || outcome.kind === 'outOfTime' || outcome.kind === 'withdrawn') {
    return decideUnanswered(plan, progress, outcome.kind);
  }
  if (outcome.kind === 'whole' && !progress.hasEvents) {
    return { kind: 'answer', head: outcome.head, body: outcome.body };
  }
  updateProgress(dependencies, request, plan, progress, outcome);
  if (outcome.kind === 'lost' && outcome.isUnanswered === true) {
    LateArrivals.recordUnanswered(dependencies, request, progress.late, plan.target.id);
  }
  logContinued(dependencies, request, plan, progress);
  const mayGoOn =
    !isRejectionFinal(dependencies, request, progress, outcome) &&
    StreamPlans.hasTriesLeft(request, progress);
  return mayGoOn ? undefined : StreamEnds.decideEnd(progress, progress.lastReason, false);
}

/** Brittle targets are not asked again for a stream without events that one of them has rejected. */
function isRejectionFinal(
  { brittle }: ForwardingDependencies,
  { service }: ForwardRequest,
  { hasEvents }: Progress,
  { kind }: AttemptOutcome,
): boolean {
  return kind === 'notRun' && !hasEvents && brittle.isBrittle(service);
}

/** Its target may have begun to run the request, although no event came. */
function decideUnanswered(
  { target }: Plan,
  progress: Progress,
  cause: 'expired' | 'outOfTime' | 'withdrawn',
): StreamOutcome {
  progress.runs += 1;
  if (cause === 'expired') return StreamEnds.decideEnd(progress, 'time is up', true);
  progress.lastTarget = target.id;
  return StreamEnds.decideEnd(
    progress,
    cause === 'withdrawn' ? CrashGuards.PART_BLOCKED_REASON : STOPPING_REASON,
    false,
  );
}

function updateProgress(
  dependencies: ForwardingDependencies,
  { service }: ForwardRequest,
  plan: Plan,
  progress: Progress,
  outcome: Exclude<AttemptOutcome, { kind: EndOfStream }>,
): void {
  const { target, copy } = plan;
  progress.lastReason = Sending.formatReason(outcome);
  progress.lastTarget = target.id;
  progress.excluded.add(target.id);
  if (StreamRelays.hasRun(outcome)) progress.runs += 1;
  else if (copy !== undefined) progress.copy = undefined;
  if (outcome.kind !== 'notSent') {
    progress.deliveries += 1;
    progress.sends += 1;
  }
  if (outcome.kind === 'lost' && 'next' in outcome) progress.reserved = outcome.next;
  recordOutcome(dependencies, target, outcome);
  dependencies.metrics.addCount(Metrics.CONTINUED, 1, { service, cause: outcome.kind });
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
    address: target.address,
    targetVersion: target.version,
    begunVersion: progress.build?.version,
    zone: target.zone,
    reason: progress.lastReason,
    ...dependencies.paths.getSummary(request.service),
    lastEventId: progress.lastEventId,
    hadCopy: copy !== undefined,
    copyAt: progress.copy?.holder.id,
    afterMs: Math.round(dependencies.clock.getNowMs() - request.arrivedAtMs),
  });
}
