/** Opens the calls that carry callers' requests to targets and to other routers. */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { Clock, ForwardingTarget, HeaderNames, PluginContext } from '@sequoiarill/types';

import * as Checks from './answers/answerChecks';
import * as ForwardRequests from './forwardRequest';
import type { AnswerHead, ForwardRequest } from './forwardRequest';
import type { RawHeader } from './front/headers';
import type { ExchangeDependencies } from './front/replies';
import type { CallTerms, RequestCalls } from './front/requestCalls';
import type * as TargetLimits from './limits/targetLimits';
import * as RelayHeaders from './relay/relayHeaders';
import type { RelayRouter } from './relay/relays';
import * as TargetCalls from './targets/targetCall';
import type * as TargetConnections from './targets/targetConnections';
import type * as TargetNotices from './targets/targetNotices';

/** What is sent of the request, and what counts its answer. */
function buildContent({ method, path, body, held, sink }: ForwardRequest) {
  held?.recordBodySent();
  const answerHold = held && {
    addAnswerBytes: held.addAnswerBytes,
    // The socket of the connection buffers enough for an answer that is passed on.
    mayReadAhead: () => sink?.isStarted() !== true && held.mayReadAhead(),
  };
  return { method, path, body, held: answerHold };
}

/** What tells the answer to this request from those to others that its connection carries. */
function createIdentity({ id, expiresAtMs }: ForwardRequest, names: HeaderNames) {
  return {
    key: { key: id, untilMs: expiresAtMs },
    findMismatch: (head: AnswerHead, isFirst: boolean) =>
      Checks.findMismatch(head, id, names, isFirst),
  };
}

/** Opens the call, unless the request was ended by a stop. */
function openRecorded(
  { calls }: ForwardRequest,
  terms: CallTerms,
  openCall: Parameters<RequestCalls['open']>[1],
): TargetCalls.TargetCall {
  return calls === undefined ? openCall(() => undefined) : calls.open(terms, openCall);
}

function createTargetTerms(
  { id: target }: ForwardingTarget,
  { id }: ForwardRequest,
  names: HeaderNames,
): CallTerms {
  return {
    place: { stage: 'target', target },
    isNotRun: (head) => Checks.checkHead(head, id, names).kind === 'notRun',
  };
}

function createHopTerms(target: string, { id }: ForwardRequest, names: HeaderNames): CallTerms {
  return {
    place: { stage: 'router', target },
    isNotRun: (head) => RelayHeaders.decodeHead(head, id, names).kind === 'refused',
  };
}

export interface RepeatCounting {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly getBudget: (service: string) => Pick<FleetRetryBudget, 'recordSend'>;
}

/** Counts a repeat until it is answered or its send has ended, which the returned function records. */
function recordRepeat(
  { clock, getBudget }: RepeatCounting,
  { service }: ForwardRequest,
  isRepeat: boolean,
): () => void {
  if (!isRepeat) return () => undefined;
  const recordEnd = getBudget(service).recordSend(clock.getNowMs());
  return () => recordEnd(clock.getNowMs());
}

export interface HopTerms {
  readonly headers: readonly RawHeader[];
  readonly isRepeat: boolean;
}

/** Sends a caller's request to another router. */
export function openHop(
  connections: TargetConnections.TargetConnections,
  { names, ...counting }: RepeatCounting & { readonly names: HeaderNames },
  { address }: RelayRouter,
  { headers, isRepeat }: HopTerms,
  request: ForwardRequest,
): TargetCalls.TargetCall {
  const endpoint = { id: address, address, startedAtUnixMs: 0 };
  const { key, findMismatch } = createIdentity(request, names);
  return openRecorded(request, createHopTerms(address, request, names), (recordHead) => {
    const recordAnswered = recordRepeat(counting, request, isRepeat);
    return TargetCalls.openCall({
      connection: connections.takeConnection(endpoint, key),
      target: { address },
      headers,
      recordHead(head) {
        recordAnswered();
        recordHead(head);
      },
      recordStart: () => recordAnswered,
      findMismatch,
      ...buildContent(request),
    });
  });
}

export interface CallOpenerParts extends Pick<RepeatCounting, 'getBudget'> {
  readonly connections: TargetConnections.TargetConnections;
  readonly limits: Pick<TargetLimits.TargetLimits, 'recordSend'>;
  readonly notices: Pick<
    TargetNotices.TargetNotices,
    'recordHead' | 'recordStart' | 'createExcessRecord'
  >;
}

/** Sends a caller's request together with the headers that only the router may set. */
export function createCallOpener(
  { clock, getCapability }: PluginContext,
  { connections, getBudget, limits, notices }: CallOpenerParts,
): ExchangeDependencies['openCall'] {
  const { headers: headerNames } = getCapability('wire');
  return (request, target, { extraHeaders, isRepeat }) => {
    const targetMs = ForwardRequests.computeTargetMs(request, clock.getNowMs(), isRepeat);
    const replaced = new Set(extraHeaders.map(([name]) => name));
    const organisation: readonly RawHeader[] =
      request.organisation === undefined ? [] : [[headerNames.organisation, request.organisation]];
    const { key, findMismatch } = createIdentity(request, headerNames);
    limits.recordSend(target);
    const terms = createTargetTerms(target, request, headerNames);
    return openRecorded(request, terms, (recordHead) => {
      const recordAnswered = recordRepeat({ clock, getBudget }, request, isRepeat);
      return TargetCalls.openCall({
        connection: connections.takeConnection(target, key),
        target,
        ...buildContent(request),
        findMismatch,
        recordHead(head) {
          recordAnswered();
          recordHead(head);
          notices.recordHead(target, head);
        },
        recordStart() {
          const recordEnd = notices.recordStart(target);
          return () => {
            recordAnswered();
            recordEnd();
          };
        },
        recordExcess: notices.createExcessRecord(target, request.id),
        headers: [
          ...request.headers.filter(([name]) => !replaced.has(name.toLowerCase())),
          [headerNames.remainingMs, String(targetMs)],
          [headerNames.expectedTarget, target.id],
          ...organisation,
          ...extraHeaders,
        ],
      });
    });
  };
}
