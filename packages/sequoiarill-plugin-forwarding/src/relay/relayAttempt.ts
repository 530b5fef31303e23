/** What comes of one request that is sent through another router. */
import type { Directory, TargetBuild } from '@sequoiarill/types';

import * as PassedAnswers from '../answers/passedAnswer';
import type { ForwardingDependencies } from '../dependencies';
import * as Events from '../events';
import type { AnswerHead, ForwardRequest, PassedOutcome, SendOutcome } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { CallEvent } from '../targets/targetCall';
import * as RelayHeaders from './relayHeaders';
import type { RelayRefusalCause, RelayTerms } from './relayHeaders';
import type { RelayCall, RelayCallOptions, RelayRouter } from './relays';

interface RouterSends {
  /** How often the other router has sent the request to a target; undefined where it did not say. */
  readonly sends?: number;
}

export type RelayRefusal = Readonly<{
  kind: 'refused';
  cause: RelayRefusalCause;
  retryAfterSeconds: number | undefined;
}> &
  RouterSends;

interface RouterContact extends RouterSends {
  /** Whether the other router was heard, although no complete answer came through it. */
  readonly isRouterHeard?: boolean;
}

/** `notRun` does not occur: another router says so by a refusal. */
export type RelayOutcome =
  | Exclude<SendOutcome, { kind: 'notRun' | 'lost' | 'whole' }>
  | (Extract<SendOutcome, { kind: 'whole' }> & RouterSends)
  | (Extract<SendOutcome, { kind: 'lost' }> & RouterContact)
  | RelayRefusal;

export type HeadResult =
  | Readonly<{ kind: 'answer'; head: AnswerHead; build?: TargetBuild; sends?: number }>
  | Exclude<RelayOutcome, { kind: 'whole' }>;

/** Routers asked one after another for one request; after these its caller is told to come back. */
const MAX_ROUTERS = 4;
/** Of these, routers to which no connection is established: each costs a timeout. */
const MAX_UNANSWERED = 2;

export function isRouterLeft(tried: number, unanswered: number): boolean {
  return tried < MAX_ROUTERS && unanswered < MAX_UNANSWERED;
}

/**
 * Number of targets that the next hop may send to. All that it is allowed counts as sent if it is lost, so it gets half of
 * what is left, and others can follow.
 */
export function computeAllowance({ route }: ForwardRequest, sends: number): number {
  const left = route.maxTargets - sends;
  return route.retryPolicy === 'once' ? left : Math.ceil(left / 2);
}

/** Sends of a hop that count against the request: those that the other router names, or all that it was allowed. */
export function countSpent(
  { kind, sends }: Readonly<{ kind: string }> & RouterSends,
  allowance: number,
): number {
  if (kind === 'notSent' || kind === 'callerLeft') return 0;
  return sends ?? (kind === 'refused' ? 0 : allowance);
}

/** Whether the next router may be asked: nothing ran, and the cause is this router's own. */
export function isNextRouterDue(outcome: RelayOutcome | PassedOutcome): boolean {
  if (outcome.kind === 'notSent') return true;
  return outcome.kind === 'refused' && outcome.cause !== 'refused';
}

/** Reads up to the head of the answer; `build` is that of the target that began to answer. */
export async function readHead(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  router: RelayRouter,
  call: RelayCall,
): Promise<HeadResult> {
  const event = await call.readNext();
  if (event.kind !== 'head') return decideFailure(dependencies, request, call, event);
  const relayed = RelayHeaders.decodeHead(event.head, request.id, dependencies.wire.headers);
  if (relayed.kind === 'invalid') {
    const { isRouter, ...rest } = relayed;
    return { ...rest, kind: 'lost', isRouterHeard: isRouter };
  }
  if (relayed.kind === 'refused') return relayed;
  const { version, ...answer } = relayed;
  dependencies.brittle.recordHead(request.service, answer.head);
  dependencies.relays.recordAnswer(request.service, router, version);
  return answer;
}

/** The outcome of an event that ends the call before the answer is complete. */
export function decideFailure(
  { clock }: Pick<ForwardingDependencies, 'clock'>,
  request: ForwardRequest,
  call: RelayCall,
  event: CallEvent,
): Extract<RelayOutcome, { kind: 'lost' | 'notSent' | 'expired' | 'callerLeft' }> {
  if (event.kind === 'cancelled') return { kind: 'callerLeft' };
  if (event.kind === 'timeout') {
    // Without this, a connection that is established later would still carry the request.
    call.cancel();
    if (!call.wasSent()) return { kind: 'notSent', reason: 'no connection to a router in time' };
    const isExpired = clock.getNowMs() >= request.expiresAtMs;
    return isExpired
      ? { kind: 'expired' }
      : { kind: 'lost', reason: 'the other router is gone', isTimeout: true };
  }
  const reason = event.kind === 'broken' ? event.reason : 'no status line';
  return call.wasSent() ? { kind: 'lost', reason, isTimeout: false } : { kind: 'notSent', reason };
}

/**
 * Adds to the outcome of an answer that has begun whether the other router was heard. Where the target breaks the answer
 * off, the other router does so as well; where nothing more comes in time, the router itself may be gone.
 */
export function addRouterContact<Outcome extends Readonly<{ kind: string; isTimeout?: boolean }>>(
  outcome: Outcome,
): Outcome & RouterContact {
  return outcome.kind === 'lost'
    ? { ...outcome, isRouterHeard: outcome.isTimeout !== true }
    : outcome;
}

/** Sends a request whose answer is not a stream through the router. */
export async function relayAnswer(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  router: RelayRouter,
  options: Pick<RelayCallOptions, 'targetsLeft' | 'hasRun' | 'isRepeat' | 'target' | 'mayLeave'>,
): Promise<RelayOutcome | PassedOutcome> {
  const call = dependencies.relays.openCall(request, router, options);
  // The other router decides, as for its own callers, whether the request still runs to its end.
  request.closed.addEventListener('abort', call.cancel, { once: true });
  try {
    const result = await readHead(dependencies, request, router, call);
    if (result.kind !== 'answer') return result;
    const { head, sends } = result;
    const source = { call, head, readNext: call.readNext };
    const outcome = await PassedAnswers.readAnswer(dependencies, request, source);
    return addRouterContact(sends === undefined ? outcome : { ...outcome, sends });
  } finally {
    request.closed.removeEventListener('abort', call.cancel);
    // The body of a refusal, or of an answer that is not used, may have no end.
    call.cancel();
  }
}

/** Records what the outcome says about the router. */
export function recordOutcome(
  { relays, log, metrics, clock }: ForwardingDependencies,
  request: ForwardRequest,
  router: RelayRouter,
  outcome: Readonly<{ kind: string; cause?: RelayRefusalCause; reason?: string }> & RouterContact,
): void {
  const { kind, cause, reason, sends, isRouterHeard = false } = outcome;
  const isUnanswered = kind === 'notSent' || (kind === 'lost' && !isRouterHeard);
  if (cause !== undefined) relays.recordRefusal(router, cause);
  else if (isUnanswered) relays.recordRefusal(router, 'unanswered');
  metrics.addCount(Metrics.RELAYED, 1, { outcome: cause ?? kind });
  log.logEvent(Events.REQUEST_RELAYED, {
    request: request.id,
    service: request.service,
    router: router.address,
    zone: router.zone,
    outcome: cause ?? kind,
    reason,
    sends,
    afterMs: Math.round(clock.getNowMs() - request.arrivedAtMs),
  });
}

/**
 * Failure: a router that has just started takes a request from one that knows that a target leaves, and sends it to that
 * target, whose entry still says ready.
 */
export function recordLeaving(
  directory: Pick<Directory, 'findCurrent' | 'recordLeaving'>,
  terms: RelayTerms | undefined,
): void {
  const leaving = terms?.leaving ?? [];
  leaving
    .flatMap((incarnation) => directory.findCurrent(incarnation) ?? [])
    .forEach(directory.recordLeaving);
}

/** The route of a request that another router sent on: it may go to no more targets than that one allows. */
export function applyTerms<Route extends { readonly maxTargets: number }>(
  route: Route,
  terms: RelayTerms | undefined,
): Route {
  if (terms === undefined || terms.targetsLeft >= route.maxTargets) return route;
  return { ...route, maxTargets: terms.targetsLeft };
}
