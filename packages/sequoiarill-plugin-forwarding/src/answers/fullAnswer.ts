/** Gets the complete answer to a non-streaming request, with retries on other targets where allowed. */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as AdmittedSends from './admittedSend';
import * as Checks from './answerChecks';
import * as AttemptRecords from './attemptRecords';
import * as AttemptTimeouts from './attemptTimeout';
import * as Events from '../events';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardOutcome, ForwardRequest, PlainOutcome, SendOutcome } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { BlockedRequest } from '../crashes/crashGuard';
import type { ForwardingDependencies } from '../dependencies';
import * as Placement from './placement';
import * as GatedTargets from './gatedTarget';
import * as LateArrivals from './lateArrivals';
import * as NextSends from './nextSend';
import type { SendProgress } from './nextSend';
import type { Slot } from '../limits/brittleTargets';
import * as RelayedAnswers from '../relay/relayedAnswer';
import * as Sending from './sending';
import * as ServiceAdmissions from './serviceAdmission';
import * as WaitEnds from '../streams/waitEnds';

/** Default retry delay of a refusal; targets that failed are tried again after it. */
const RETRY_AFTER_SECONDS = 0.3;
/** A server error from a second target is caused by the request and is returned as the answer. */
const MAX_SERVER_ERRORS = 1;

/** Refused connections are cheap, but a request must not try every target of a zone. */
const MAX_TARGETS_TRIED = 8;

interface Progress extends SendProgress {
  readonly excluded: Set<string>;
  /** Held while the request runs at a brittle target. */
  slot: Slot | undefined;
  /** The first target that returned a server error. */
  failedTarget: ForwardingTarget | undefined;
  /** Attempts of which bytes were sent, each to another target. */
  sends: number;
  mayHaveRun: boolean;
  lastReason: string;
  lastTarget: string | undefined;
  /** Number of targets that returned a server error. */
  serverErrors: number;
  /** The latest server error, returned when no other target succeeds. */
  lastFailure?: Extract<SendOutcome, { kind: 'whole' }>;
}

function buildRefusal(progress: Progress, retryAfterSeconds = RETRY_AFTER_SECONDS): ForwardOutcome {
  const { lastReason: reason } = progress;
  return { kind: 'refused', reason, retryAfterSeconds, ...getLastTarget(progress) };
}

function getLastTarget({ lastTarget }: Progress): { readonly lastTarget?: string } {
  return lastTarget === undefined ? {} : { lastTarget };
}

/** The outcome for the caller after the last attempt. */
function decideEnd(request: ForwardRequest, progress: Progress, isLate: boolean): ForwardOutcome {
  const { lastFailure, lastReason, mayHaveRun } = progress;
  if (lastFailure !== undefined) {
    return { kind: 'answer', head: lastFailure.head, body: lastFailure.body };
  }
  const isRepeatable = request.route.retryPolicy !== 'once' && !isLate;
  if (isRepeatable || !mayHaveRun) return buildRefusal(progress);
  return { kind: 'failed', reason: lastReason, isLate, ...getLastTarget(progress) };
}

/** Undefined when no target can take the request, even with a permit from other routers. */
async function findAvailable(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { excluded }: Progress,
): Promise<ForwardingTarget | undefined> {
  const query = { request, excluded, purpose: 'first' } as const;
  const target = Placement.chooseTarget(dependencies, query);
  if (target !== undefined) return target;
  const rateLimited = Placement.listRateLimited(dependencies, request, excluded);
  return (await dependencies.limits.acquirePermit(rateLimited))
    ? Placement.chooseTarget(dependencies, query)
    : undefined;
}

/** Waits out a short rest where all targets have asked for one. */
async function findTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardingTarget | undefined> {
  for (;;) {
    const target = await findAvailable(dependencies, request, progress);
    if (target !== undefined) return target;
    const hasWaited = await Placement.waitForRest(dependencies, request, request.arrivedAtMs);
    if (!hasWaited || request.closed.aborted) return undefined;
    progress.excluded.clear();
  }
}

/** The outcome when no target can take the request; rests and rate limits may be the reason. */
function decideUnplaced(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ForwardOutcome {
  if (request.closed.aborted && progress.sends === 0) return { kind: 'callerLeft' };
  if (Placement.computeRestMs(dependencies, request) !== undefined) {
    progress.lastReason = Placement.RESTING_REASON;
  }
  const rateLimited = Placement.listRateLimited(dependencies, request, progress.excluded);
  if (rateLimited.length === 0) return decideEnd(request, progress, false);
  progress.lastReason = Placement.RATE_LIMITED_REASON;
  const retryAfterSeconds = dependencies.limits.getRetrySeconds(rateLimited);
  return ForwardRequests.setRetryAfter(decideEnd(request, progress, false), retryAfterSeconds);
}

function decideBlocked(
  request: ForwardRequest,
  progress: Progress,
  { reason, retryAfterSeconds }: BlockedRequest,
): ForwardOutcome {
  progress.lastReason = reason;
  return ForwardRequests.setRetryAfter(decideEnd(request, progress, false), retryAfterSeconds);
}

function getUnreadMs({ sink }: ForwardRequest): number {
  return sink?.getUnreadMs().totalMs ?? 0;
}

function releaseSlot(progress: Progress, outcome: PlainOutcome, tookMs: number): void {
  progress.slot?.release({
    ...(AdmittedSends.isComplete(outcome) ? { tookMs } : {}),
    wasRejected: outcome.kind === 'notRun',
  });
  progress.slot = undefined;
}

/**
 * Undefined where the request may be sent. Another router admits the requests that it is sent; the router of the caller
 * counts them.
 */
function admitRequest(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ForwardOutcome | undefined {
  if (request.relayTerms === undefined) {
    dependencies.getBudget(request.service).recordRequest(dependencies.clock.getNowMs());
  }
  if (dependencies.relays.isDue(request)) return undefined;
  if (dependencies.brittle.isBrittle(request.service)) return undefined;
  const decision = ServiceAdmissions.decideAdmission(dependencies, request);
  if (decision.kind !== 'refuse') return undefined;
  progress.lastReason = 'more requests are in progress than end on time';
  return buildRefusal(progress, decision.retryAfterSeconds);
}

async function runRelayed(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardOutcome | undefined> {
  const { relays } = dependencies;
  const outcome = await RelayedAnswers.runRelayedAnswer(
    dependencies,
    request,
    progress,
    (tried) => {
      const router = relays.chooseRouter(tried);
      return router === undefined ? undefined : { router };
    },
  );
  if (outcome === undefined) relays.recordUntaken(request.service);
  return outcome;
}

/**
 * The next target, or the outcome where another router ran the request or no target can. A brittle target gets
 * a request once.
 */
async function findTargetOrEnd(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardingTarget | ForwardOutcome> {
  const isGated =
    request.relayTerms?.target !== undefined || dependencies.brittle.isBrittle(request.service);
  if (!isGated) return findReachedTarget(dependencies, request, progress);
  return progress.sends > 0
    ? decideEnd(request, progress, false)
    : GatedTargets.findGatedTarget(dependencies, request, progress);
}

/** Another router may reach targets that this one has lost. */
async function findReachedTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardingTarget | ForwardOutcome> {
  const { relays } = dependencies;
  const relayed = relays.isDue(request)
    ? await runRelayed(dependencies, request, progress)
    : undefined;
  if (relayed !== undefined) return relayed;
  if (progress.sends >= request.route.maxTargets) return decideEnd(request, progress, false);
  // On a connection that carries nothing, it would not run and could not be repeated.
  const isTooRisky =
    request.route.retryPolicy === 'once' && dependencies.paths.isUnreachable(request.service);
  if (isTooRisky) return decideUnplaced(dependencies, request, progress);
  const target = await findTarget(dependencies, request, progress);
  if (target !== undefined) return target;
  const lastResort =
    !request.closed.aborted && relays.isPossible(request)
      ? await runRelayed(dependencies, request, progress)
      : undefined;
  return lastResort ?? decideUnplaced(dependencies, request, progress);
}

/** A request may also be blocked while it waits for a target. */
async function findUnblockedTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardingTarget | ForwardOutcome> {
  await dependencies.crashes.waitForInquiry(request);
  const block = dependencies.crashes.findBlock(request);
  if (block !== undefined) return decideBlocked(request, progress, block);
  const target =
    NextSends.takeTarget(dependencies, request, progress) ??
    (await findTargetOrEnd(dependencies, request, progress));
  if ('kind' in target) return target;
  const newBlock = dependencies.crashes.findBlock(request);
  if (newBlock === undefined) return target;
  releaseSlot(progress, { kind: 'expired' }, 0);
  return decideBlocked(request, progress, newBlock);
}

export async function runFullAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): Promise<ForwardOutcome> {
  const progress: Progress = {
    excluded: new Set(),
    late: LateArrivals.createLateSends(),
    slot: undefined,
    failedTarget: undefined,
    sends: 0,
    mayHaveRun: false,
    lastReason: 'no target is known',
    lastTarget: undefined,
    serverErrors: 0,
    wasRejected: false,
    isRetryTaken: false,
    nextTarget: undefined,
  };
  try {
    return await runAttempts(dependencies, request, progress);
  } finally {
    NextSends.releaseRetry(dependencies, request, progress);
  }
}

async function runAttempts(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): Promise<ForwardOutcome> {
  const { clock, log, metrics } = dependencies;
  const refusal = admitRequest(dependencies, request, progress);
  if (refusal !== undefined) return refusal;
  for (;;) {
    const nowMs = clock.getNowMs();
    if (nowMs >= request.expiresAtMs) return decideEnd(request, progress, true);
    if (progress.sends >= request.route.maxTargets) return decideEnd(request, progress, false);
    const stopEnd = WaitEnds.findRepeatEnd(dependencies, request, progress);
    if (stopEnd !== undefined) return stopEnd;
    const target = await findUnblockedTarget(dependencies, request, progress);
    if ('kind' in target) return target;
    if (progress.sends > 0 && !NextSends.takeRetry(dependencies, request, progress)) {
      return decideEnd(request, progress, false);
    }
    progress.lastTarget = target.id;
    const outcome = await AdmittedSends.sendWithAdmission(dependencies, request, {
      target,
      attemptTimeoutMs: AttemptTimeouts.computeAttemptTimeoutMs(request, progress, nowMs),
      isRepeat: progress.sends > 0,
      next: NextSends.createNextSend(dependencies, request, progress, target),
    });
    releaseSlot(progress, outcome, clock.getNowMs() - nowMs - getUnreadMs(request));
    if (outcome.kind === 'callerLeft') return outcome;
    AttemptRecords.recordOutcome(dependencies, request, target, outcome, progress);
    const finalOutcome = decideNext(request, progress, outcome);
    if (finalOutcome !== undefined) return finalOutcome;
    progress.excluded.add(target.id);
    if (progress.excluded.size > MAX_TARGETS_TRIED) return decideEnd(request, progress, false);
    metrics.addCount(Metrics.REPEATED, 1, { service: request.service, cause: outcome.kind });
    log.logEvent(Events.REQUEST_REPEATED, {
      request: request.id,
      content: request.contentKey,
      target: target.id,
      reason: progress.lastReason,
      sends: progress.sends,
      afterMs: Math.round(clock.getNowMs() - request.arrivedAtMs),
    });
  }
}

/** Undefined when the request may be retried on another target. */
function decideNext(
  request: ForwardRequest,
  progress: Progress,
  outcome: Exclude<PlainOutcome, { kind: 'callerLeft' }>,
): ForwardOutcome | undefined {
  const isAtMostOnce = request.route.retryPolicy === 'once';
  progress.lastReason = Sending.formatReason(outcome);
  progress.wasRejected = outcome.kind === 'notRun';
  if (outcome.kind !== 'notSent') progress.sends += 1;
  if (outcome.kind === 'notSent' || outcome.kind === 'notRun') return undefined;
  progress.mayHaveRun = true;
  if (ForwardRequests.isPassed(outcome)) {
    return ForwardRequests.findPassedEnd(outcome, progress.lastTarget);
  }
  if (outcome.kind === 'whole') {
    if (isAtMostOnce || !Checks.isServerError(outcome.head.status)) {
      return { kind: 'answer', head: outcome.head, body: outcome.body };
    }
    progress.lastFailure = outcome;
    progress.serverErrors += 1;
    const isLast = progress.serverErrors > MAX_SERVER_ERRORS;
    return isLast ? decideEnd(request, progress, false) : undefined;
  }
  const isLate = outcome.kind === 'lost' && outcome.isTimeout;
  const end = { reason: progress.lastReason, isLate, ...getLastTarget(progress) };
  return isAtMostOnce ? { kind: 'failed', ...end } : undefined;
}
