/** Gets the whole answer to a request that is no stream, from one target or, where allowed, more. */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Checks from './answerChecks';
import * as Events from '../events';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardOutcome, ForwardRequest, SendOutcome } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';
import * as Placement from './placement';
import * as Sending from './sending';
import * as ServiceAdmissions from './serviceAdmission';

/** A repeat is sent after so many times the objective, so that it can still help. */
const REPEAT_OBJECTIVES = 2.5;
/** At most this share of the time left is spent on one of several sends. */
const REPEAT_SHARE = 0.45;
/** A target that failed this way is tried again in this time, seconds. */
const RETRY_AFTER_SECONDS = 0.3;
const MS_PER_SECOND = 1_000;
/** The same failure from a second target lies in the request, and is the answer. */
const MAX_SERVER_ERRORS = 1;

/** Connections that are refused are cheap, and still not to be tried at every target of a zone. */
const MAX_TRIES = 8;

interface Progress {
  readonly excluded: Set<string>;
  /** Who answered with a failure of its own, first. */
  failedTarget: ForwardingTarget | undefined;
  /** Sends of which bytes left, each to another target. */
  sends: number;
  mayHaveRun: boolean;
  lastReason: string;
  lastTarget: string | undefined;
  /** Targets that answered with a failure of their own. */
  serverErrors: number;
  /** A target's own failure, kept in case no other target does better. */
  lastFailure?: Extract<SendOutcome, { kind: 'whole' }>;
}

/** Milliseconds for one send: all that is left, unless another target can be asked afterwards. */
function computeLimit(request: ForwardRequest, progress: Progress, nowMs: number): number {
  const leftMs = request.expiresAtMs - nowMs;
  const { retryPolicy: repeat, maxTargets, objectiveMs } = request.route;
  const isLast = repeat === 'once' || progress.sends + 1 >= maxTargets;
  return isLast ? leftMs : Math.min(objectiveMs * REPEAT_OBJECTIVES, leftMs * REPEAT_SHARE);
}

function refuse(progress: Progress, retryAfterSeconds = RETRY_AFTER_SECONDS): ForwardOutcome {
  const { lastReason: reason } = progress;
  return { kind: 'refused', reason, retryAfterSeconds, ...getLastTarget(progress) };
}

function getLastTarget({ lastTarget }: Progress): { readonly lastTarget?: string } {
  return lastTarget === undefined ? {} : { lastTarget };
}

/** After the last send: what the caller is told. */
function decideEnd(request: ForwardRequest, progress: Progress, isLate: boolean): ForwardOutcome {
  const { lastFailure, lastReason, mayHaveRun } = progress;
  if (lastFailure !== undefined) {
    return { kind: 'answer', head: lastFailure.head, body: lastFailure.body };
  }
  const isPromiseTrue = request.route.retryPolicy !== 'once' || !mayHaveRun;
  if (isPromiseTrue && !isLate) return refuse(progress);
  if (!mayHaveRun) return refuse(progress);
  return { kind: 'failed', reason: lastReason, isLate, ...getLastTarget(progress) };
}

/** Undefined when nobody can be asked now, also after other routers were asked for a request to send. */
async function findTarget(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { excluded }: Progress,
): Promise<ForwardingTarget | undefined> {
  const question = { request, excluded, purpose: 'first' } as const;
  const target = Placement.chooseTarget(dependencies, question);
  if (target !== undefined) return target;
  const limited = Placement.listRateLimited(dependencies, request, excluded);
  return (await dependencies.limits.acquirePermit(limited))
    ? Placement.chooseTarget(dependencies, question)
    : undefined;
}

/** No target can be asked, some of them only since they take no more for now. */
function decideUnplaced(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: Progress,
): ForwardOutcome {
  const limited = Placement.listRateLimited(dependencies, request, progress.excluded);
  if (limited.length === 0) return decideEnd(request, progress, false);
  progress.lastReason = Placement.LIMITED_REASON;
  const retryAfterSeconds = dependencies.limits.getRetrySeconds(limited);
  return ForwardRequests.setRetryAfter(decideEnd(request, progress, false), retryAfterSeconds);
}

function decideBlocked(
  request: ForwardRequest,
  progress: Progress,
  blockedMs: number,
): ForwardOutcome {
  progress.lastReason = Placement.BLOCKED_REASON;
  const retryAfterSeconds = Math.ceil(blockedMs / MS_PER_SECOND);
  return ForwardRequests.setRetryAfter(decideEnd(request, progress, false), retryAfterSeconds);
}

async function sendWithAdmission(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  limitMs: number,
): Promise<SendOutcome> {
  const admission = dependencies.getAdmission(request.service);
  const sentAtMs = dependencies.clock.getNowMs();
  const { name: route, objectiveMs } = request.route;
  const recordEnd = dependencies.rollouts.recordSend({ target, route, objectiveMs });
  admission.recordStart();
  const outcome = await Sending.sendOnce(dependencies, request, target, limitMs);
  ServiceAdmissions.recordSend(
    admission,
    request,
    outcome,
    sentAtMs,
    dependencies.clock.getNowMs(),
  );
  recordEnd(Sending.decideVersionEnd(outcome));
  if (outcome.kind === 'lost' && !outcome.isSilence) {
    await dependencies.crashes.recordDisconnect(request, target);
  }
  return outcome;
}

export async function runWholeAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): Promise<ForwardOutcome> {
  const { clock, log } = dependencies;
  const budget = dependencies.getBudget(request.service);
  const progress: Progress = {
    excluded: new Set(),
    failedTarget: undefined,
    sends: 0,
    mayHaveRun: false,
    lastReason: 'no target is known',
    lastTarget: undefined,
    serverErrors: 0,
  };
  budget.recordRequest(clock.getNowMs());
  const decision = ServiceAdmissions.decideAdmission(dependencies, request);
  if (decision.kind === 'refuse') {
    progress.lastReason = 'more requests are in progress than end on time';
    return refuse(progress, decision.retryAfterSeconds);
  }
  for (;;) {
    const nowMs = clock.getNowMs();
    if (nowMs >= request.expiresAtMs) return decideEnd(request, progress, true);
    if (progress.sends >= request.route.maxTargets) return decideEnd(request, progress, false);
    const blockedMs = dependencies.crashes.getBlockedMs(request.contentKey);
    if (blockedMs > 0) return decideBlocked(request, progress, blockedMs);
    const target = await findTarget(dependencies, request, progress);
    if (target === undefined) return decideUnplaced(dependencies, request, progress);
    if (progress.sends > 0 && !budget.takeRetry(nowMs)) return decideEnd(request, progress, false);
    const limitMs = computeLimit(request, progress, nowMs);
    progress.lastTarget = target.id;
    const outcome = await sendWithAdmission(dependencies, request, target, limitMs);
    if (outcome.kind === 'callerLeft') return outcome;
    recordOutcome(dependencies, request, target, outcome, progress);
    const end = decideNext(request, progress, outcome);
    if (end !== undefined) return end;
    progress.excluded.add(target.id);
    if (progress.excluded.size > MAX_TRIES) return decideEnd(request, progress, false);
    dependencies.metrics.addCount(Metrics.REPEATED);
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

/** Undefined: another target may be asked. */
function decideNext(
  request: ForwardRequest,
  progress: Progress,
  outcome: Exclude<SendOutcome, { kind: 'callerLeft' }>,
): ForwardOutcome | undefined {
  const isOnce = request.route.retryPolicy === 'once';
  progress.lastReason = Sending.formatReason(outcome);
  if (outcome.kind === 'notSent') return undefined;
  progress.sends += 1;
  if (outcome.kind === 'notRun') return undefined;
  progress.mayHaveRun = true;
  if (outcome.kind === 'whole') {
    if (isOnce || !Checks.isServerError(outcome.head.status)) {
      return { kind: 'answer', head: outcome.head, body: outcome.body };
    }
    progress.lastFailure = outcome;
    progress.serverErrors += 1;
    if (progress.serverErrors > MAX_SERVER_ERRORS) return decideEnd(request, progress, false);
    return undefined;
  }
  if (!isOnce) return undefined;
  const isLate = outcome.kind === 'lost' && outcome.isSilence;
  return { kind: 'failed', reason: progress.lastReason, isLate, ...getLastTarget(progress) };
}

/**
 * Failure: some requests fail on every target, and a target that got a few of them in a row would be
 * left out for nothing. A failure counts against its target only where another one did better.
 */
function recordWhole(
  { registry }: ForwardingDependencies,
  target: ForwardingTarget,
  status: number,
  progress: Progress,
): void {
  if (Checks.isServerError(status)) {
    progress.failedTarget ??= target;
    return;
  }
  registry.recordSuccess(target);
  if (progress.failedTarget !== undefined) registry.recordFailure(progress.failedTarget);
}

function recordOutcome(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  target: ForwardingTarget,
  outcome: SendOutcome,
  progress: Progress,
): void {
  const { registry, log } = dependencies;
  if (outcome.kind === 'whole') {
    recordWhole(dependencies, target, outcome.head.status, progress);
    return;
  }
  if (outcome.kind === 'notRun') Sending.recordNotRun(dependencies, target, outcome.status);
  if (outcome.kind !== 'notSent' && outcome.kind !== 'lost') return;
  // One answer that is lost says little of a target that takes connections; several in a row do.
  if (outcome.kind === 'notSent') registry.recordLoss(target);
  else registry.recordFailure(target);
  if (outcome.kind === 'lost' && outcome.isSilence) dependencies.renewConnections(target);
  log.logEvent(Events.TARGET_LOST, {
    request: request.id,
    target: target.id,
    zone: target.zone,
    address: target.address,
    reason: outcome.reason,
  });
}
