/** Gets the answer to a non-streaming request through other routers. */
import * as NextSends from '../answers/nextSend';
import type { ForwardingDependencies } from '../dependencies';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardOutcome, ForwardRequest, PassedOutcome } from '../forwardRequest';
import * as RelayAttempts from './relayAttempt';
import type { RelayOutcome } from './relayAttempt';
import type { RelayRouter } from './relays';

/** Of the request, over all routers and targets that it was sent to. */
export interface RelayProgress {
  /** Attempts of which bytes were sent. */
  sends: number;
  mayHaveRun: boolean;
  lastReason: string;
  /** A repeat of the budget is taken for the next send. */
  isRetryTaken?: boolean;
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
    const targetsLeft = request.route.maxTargets - progress.sends;
    const hop = chooseHop(tried);
    if (hop === undefined || targetsLeft <= 0) return undefined;
    if (!hasRepeat(dependencies, request, progress)) return undefined;
    const { router, target } = hop;
    tried.add(router.address);
    // A request to a brittle target is sent once.
    const mayLeave = (missedChecks: number) =>
      target === undefined &&
      (isNextPossible(dependencies, request, progress, tried) || isGivenUp(request, missedChecks));
    const options = { targetsLeft, target, mayLeave };
    const outcome = await RelayAttempts.relayAnswer(dependencies, request, router, options);
    RelayAttempts.recordOutcome(dependencies, request, router, outcome);
    if (outcome.kind === 'callerLeft') return outcome;
    // A hop that reached no target leaves its repeat to the next send.
    if (isUntaken(outcome)) progress.isRetryTaken = progress.sends > 0;
    const end = decideEnd(request, progress, outcome);
    if (end !== undefined) return end;
    if (outcome.kind === 'notSent') unanswered += 1;
  }
  return undefined;
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
  { sends }: RelayProgress,
  tried: ReadonlySet<string>,
): boolean {
  const { retryPolicy, maxTargets } = request.route;
  if (retryPolicy === 'once' || sends + 1 >= maxTargets) return false;
  if (getBudget(request.service).getBalance(clock.getNowMs()) < 1) return false;
  return relays.chooseRouter(tried) !== undefined || !relays.isDue(request);
}

function isUntaken({ kind }: RelayOutcome | PassedOutcome): boolean {
  return kind === 'notSent' || kind === 'refused';
}

/** Undefined where another router may be asked. */
function decideEnd(
  request: ForwardRequest,
  progress: RelayProgress,
  outcome: Exclude<RelayOutcome, { kind: 'callerLeft' }> | PassedOutcome,
): ForwardOutcome | undefined {
  if (RelayAttempts.isNextRouterDue(outcome)) return undefined;
  if (ForwardRequests.isPassed(outcome)) return ForwardRequests.findPassedEnd(outcome);
  if (outcome.kind === 'whole') return { ...outcome, kind: 'answer' };
  if (outcome.kind === 'refused') {
    // It was taken from a target that was silent, and what remains is to try the targets again.
    if (progress.mayHaveRun) return undefined;
    const { retryAfterSeconds = RETRY_AFTER_SECONDS } = outcome;
    return { kind: 'refused', reason: 'another router refuses it', retryAfterSeconds };
  }
  if (outcome.kind === 'notSent') return undefined;
  progress.sends += 1;
  progress.mayHaveRun = true;
  progress.lastReason = outcome.kind === 'lost' ? outcome.reason : 'time is up';
  const isLate = outcome.kind === 'expired' || outcome.isTimeout;
  if (outcome.kind === 'lost' && request.route.retryPolicy !== 'once') return undefined;
  return { kind: 'failed', reason: progress.lastReason, isLate };
}
