/** Gets the answer to a non-streaming request through other routers. */
import * as Checks from '../answers/answerChecks';
import * as NextSends from '../answers/nextSend';
import type { ForwardingDependencies } from '../dependencies';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardOutcome, ForwardRequest, PassedOutcome, SendOutcome } from '../forwardRequest';
import * as RelayAttempts from './relayAttempt';
import type { RelayOutcome } from './relayAttempt';
import type { RelayRouter } from './relays';

type WholeOutcome = Extract<SendOutcome, { kind: 'whole' }>;

/** Of the request, over all routers and targets that it was sent to. */
export interface RelayProgress {
  /** Sends to targets, and those that lost hops may have made. */
  sends: number;
  mayHaveRun: boolean;
  lastReason: string;
  /** A repeat of the budget is taken for the next send. */
  isRetryTaken?: boolean;
  /** Server error that is returned where nothing better comes. */
  lastFailure?: WholeOutcome;
}

/** Checks without a response after which a router counts as cut off for good, about a second after its last word. */
const MAX_MISSED_CHECKS = 4;
/** Where the other router names no time. */
const RETRY_AFTER_SECONDS = 0.3;

/** The next router, and the only target that it may use where that is settled; undefined when none is left. */
export type ChooseHop = (
  tried: ReadonlySet<string>,
) => Readonly<{ router: RelayRouter; target?: string }> | undefined;

/** Undefined where no router took the request: it has not run on the way. */
export async function runRelayedAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: RelayProgress,
  chooseHop: ChooseHop,
): Promise<ForwardOutcome | undefined> {
  const tried = new Set<string>();
  let unanswered = 0;
  while (RelayAttempts.isRouterLeft(tried.size, unanswered)) {
    if (request.closed.aborted && !progress.mayHaveRun) return { kind: 'callerLeft' };
    const hop = chooseHop(tried);
    if (hop === undefined || progress.sends >= request.route.maxTargets) return undefined;
    if (!hasRepeat(dependencies, request, progress)) return undefined;
    tried.add(hop.router.address);
    const { outcome, spent } = await runHop(dependencies, request, progress, { ...hop, tried });
    if (outcome.kind === 'callerLeft') return outcome;
    recordSpent(progress, spent);
    const isSingle = hop.target === undefined && spent === 1;
    const end = decideEnd(request, progress, outcome, isSingle);
    if (end !== undefined) return end;
    if (outcome.kind === 'notSent') unanswered += 1;
  }
  return undefined;
}

interface Hop {
  readonly router: RelayRouter;
  /** The only target that the router may use, where that is settled. */
  readonly target?: string;
  /** Addresses of the routers that were asked, with this one. */
  readonly tried: ReadonlySet<string>;
}

/** `spent`: sends to targets that it counts for. */
async function runHop(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { sends, mayHaveRun }: RelayProgress,
  { router, target, tried }: Hop,
): Promise<Readonly<{ outcome: RelayOutcome | PassedOutcome; spent: number }>> {
  // A request to a brittle target is sent once.
  const isSettled = target !== undefined;
  const allowance = isSettled ? 1 : RelayAttempts.computeAllowance(request, sends);
  const outcome = await RelayAttempts.relayAnswer(dependencies, request, router, {
    targetsLeft: allowance,
    hasRun: mayHaveRun,
    isRepeat: sends > 0,
    target,
    mayLeave: (missedChecks) =>
      !isSettled &&
      (isNextPossible(dependencies, request, sends + allowance, tried) ||
        isGivenUp(request, missedChecks)),
  });
  RelayAttempts.recordOutcome(dependencies, request, router, outcome);
  return { outcome, spent: RelayAttempts.countSpent(outcome, allowance) };
}

/** A hop that reached no target leaves its repeat to the next send. */
function recordSpent(progress: RelayProgress, spent: number): void {
  if (spent === 0) progress.isRetryTaken = progress.sends > 0;
  progress.sends += spent;
}

/** The first send needs none. */
function hasRepeat(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  progress: RelayProgress,
): boolean {
  return progress.sends === 0 || NextSends.takeRetry(dependencies, request, progress);
}

/** A caller may repeat such a request elsewhere, and an order waits for its answer. */
function isGivenUp({ route }: ForwardRequest, missedChecks: number): boolean {
  return route.retryPolicy !== 'once' && missedChecks >= MAX_MISSED_CHECKS;
}

/** Whether the request could be sent once more after the hop that is under way. */
function isNextPossible(
  { getBudget, clock, relays }: ForwardingDependencies,
  request: ForwardRequest,
  sends: number,
  tried: ReadonlySet<string>,
): boolean {
  const { retryPolicy, maxTargets } = request.route;
  if (retryPolicy === 'once' || sends >= maxTargets) return false;
  if (getBudget(request.service).getBalance(clock.getNowMs()) < 1) return false;
  return relays.chooseRouter(tried) !== undefined || !relays.isDue(request);
}

/** Whether another target may be asked, as after the first server error that this router itself gets. */
function isFirstError(
  { route }: ForwardRequest,
  { lastFailure }: RelayProgress,
  { head }: WholeOutcome,
): boolean {
  if (lastFailure !== undefined) return false;
  return route.retryPolicy !== 'once' && Checks.isServerError(head.status);
}

/** Undefined where another router may be asked. `isSingle`: the hop has sent to one of the targets that it chose from. */
function decideEnd(
  request: ForwardRequest,
  progress: RelayProgress,
  outcome: Exclude<RelayOutcome, { kind: 'callerLeft' }> | PassedOutcome,
  isSingle: boolean,
): ForwardOutcome | undefined {
  if (RelayAttempts.isNextRouterDue(outcome)) return undefined;
  if (ForwardRequests.isPassed(outcome)) return ForwardRequests.findPassedEnd(outcome);
  if (outcome.kind === 'whole') {
    if (!isSingle || !isFirstError(request, progress, outcome)) {
      return { ...outcome, kind: 'answer' };
    }
    progress.lastFailure = outcome;
    progress.mayHaveRun = true;
    return undefined;
  }
  if (outcome.kind === 'refused') {
    // It was taken from a target that was silent, and what remains is to try the targets again.
    if (progress.mayHaveRun) return undefined;
    const { retryAfterSeconds = RETRY_AFTER_SECONDS } = outcome;
    return { kind: 'refused', reason: 'another router refuses it', retryAfterSeconds };
  }
  return outcome.kind === 'notSent' ? undefined : decideLost(request, progress, outcome);
}

function decideLost(
  { route }: ForwardRequest,
  progress: RelayProgress,
  outcome: Extract<RelayOutcome, { kind: 'lost' | 'expired' }>,
): ForwardOutcome | undefined {
  progress.mayHaveRun = true;
  progress.lastReason = outcome.kind === 'lost' ? outcome.reason : 'time is up';
  const { lastFailure } = progress;
  if (lastFailure !== undefined && outcome.kind === 'expired') {
    return { kind: 'answer', head: lastFailure.head, body: lastFailure.body };
  }
  const isLate = outcome.kind === 'expired' || outcome.isTimeout;
  if (outcome.kind === 'lost' && route.retryPolicy !== 'once') return undefined;
  return { kind: 'failed', reason: progress.lastReason, isLate };
}
