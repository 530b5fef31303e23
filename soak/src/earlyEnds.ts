/** Checks that no request ends before its time limit because targets were silent together; pure functions. */
import type { ServiceName } from '@sequoiarill/standins';
import type { LogLine } from '@sequoiarill/testing';

import { isCrashing } from './callers';
import { SHORT_TIMEOUT_MS, TIMEOUT_MS } from './configuration';
import type { Evidence, Violation } from './checks';
import * as RequestLogs from './requestLog';
import type { CallerResult, ComponentFault, RequestLog, SentRequest } from './requestLog';

/** Routers count the time limit from when they read a request, and end it a little before their caller would. */
const LIMIT_TOLERANCE_MS = 500;
/** Time after a fault in which its traces, such as connections that were reset, may end a request. */
const AFTERMATH_MS = 1_500;
/** A slow body has arrived, and its request is accepted. */
const ACCEPTANCE_MS = 2_000;
/** A router may be without the newest configuration for so long. */
const IN_FORCE_MS = 6_000;
const OK = 200;
const FAILURES: ReadonlySet<number> = new Set([502, 504]);

export interface EarlyEnds {
  readonly violations: readonly Violation[];
  readonly counts: { readonly silent: number; readonly silentWhole: number };
}

interface SilentEnd {
  readonly id: string;
  readonly result: CallerResult;
  readonly tookMs: number;
  readonly isEarly: boolean;
}

interface OpenTime {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What the routers' lines tell of one request. */
export interface RequestTrace {
  /** Ids of the incarnations that were chosen for it, also where it didn't run. */
  readonly targets: Set<string>;
  /** At which its targets were lost: that of another router's link where the target was learned from that router. */
  readonly addresses: Set<string>;
  /** Whether its router sent it through another one. */
  isRelayed: boolean;
}

export type Traces = ReadonlyMap<string, RequestTrace>;

export function createTraces(lines: readonly LogLine[]): Traces {
  const traces = new Map<string, RequestTrace>();
  for (const { name, request, target, address } of lines) {
    if (typeof request === 'string') {
      const trace = traces.get(request) ?? {
        targets: new Set(),
        addresses: new Set(),
        isRelayed: false,
      };
      traces.set(request, trace);
      if (typeof target === 'string') trace.targets.add(target);
      if (typeof address === 'string') trace.addresses.add(address);
      if (name === 'request.relayed') trace.isRelayed = true;
    }
  }
  return traces;
}

function getService({ kind }: SentRequest): ServiceName {
  return RequestLogs.isStream(kind) ? 'engines' : 'orders';
}

function hasOverlap(one: OpenTime, other: OpenTime, afterMs = 0): boolean {
  return one.fromMs <= other.untilMs + afterMs && one.untilMs >= other.fromMs;
}

function isSilentMeanwhile({ silences }: RequestLog, request: SentRequest, open: OpenTime) {
  const service = getService(request);
  return silences.some((one) => one.service === service && hasOverlap(open, one, AFTERMATH_MS));
}

/** Incarnations at which the request ran or for which it was chosen; all of its service if none is known. */
function listTargets(
  { incarnations }: Evidence,
  request: SentRequest,
  trace: RequestTrace | undefined,
): readonly string[] {
  const ids = incarnations.map(({ target }) => target);
  const ran = incarnations
    .filter(({ runs }) => runs.some(({ requestId }) => requestId === request.id))
    .map(({ target }) => target);
  const known = [...ran, ...(trace?.targets ?? [])];
  return known.length > 0 ? known : ids.filter((id) => id.startsWith(getService(request)));
}

export interface TouchQuery {
  readonly trace: RequestTrace | undefined;
  readonly isCounted: (fault: ComponentFault) => boolean;
}

/** Whether a fault that counts touched the router or the targets of the request while it was open, or shortly before. */
export function isTouched(
  evidence: Evidence,
  request: SentRequest,
  open: OpenTime,
  { trace, isCounted }: TouchQuery,
): boolean {
  const targets = listTargets(evidence, request, trace);
  // `engines-1-life-2` is an incarnation of `target 1`.
  const places = targets.map((target) => `target ${target.split('-')[1] ?? ''}`);
  const addresses = trace?.addresses ?? [];
  const components = new Set([...targets, ...places, ...addresses, `router ${request.router}`]);
  const isRelayed = trace?.isRelayed === true;
  return evidence.requestLog.faults.some(
    (fault) =>
      isCounted(fault) &&
      (components.has(fault.component) || (isRelayed && fault.component.startsWith('router'))) &&
      hasOverlap(open, fault, AFTERMATH_MS),
  );
}

/** Whether the request may have been accepted with the shorter time limit of its route. */
export function hasShortLimit(
  { changes }: Pick<RequestLog, 'changes'>,
  { sentAtMs }: SentRequest,
): boolean {
  return changes.some(
    ({ change, fromMs, untilMs }) =>
      change === 'limitsShorter' &&
      fromMs <= sentAtMs + ACCEPTANCE_MS &&
      untilMs + IN_FORCE_MS >= sentAtMs,
  );
}

/** Time after which the request may end for its time limit, or for a shorter one of its route that may be in force. */
export function computeEarliestEndMs(
  requestLog: Pick<RequestLog, 'changes'>,
  request: SentRequest,
): number {
  const isShort = hasShortLimit(requestLog, request);
  return (isShort ? SHORT_TIMEOUT_MS : TIMEOUT_MS) - LIMIT_TOLERANCE_MS;
}

function formatEarlyEnd(result: CallerResult): string | undefined {
  if (result.kind === 'noAnswer') return 'no answer';
  if (FAILURES.has(result.status)) return String(result.status);
  return result.status === OK && !result.isComplete ? 'closed' : undefined;
}

/** Ends of the requests that were open in a silence and that no other fault touched. */
function* listSilentEnds(evidence: Evidence, traces: Traces): Generator<SilentEnd> {
  const { requests, results, ends } = evidence.requestLog;
  for (const [id, request] of requests) {
    const [result, end] = [results.get(id), ends.get(id)];
    if (result !== undefined && end !== undefined && !end.hasCallerLeft && !isCrashing(id)) {
      const open = { fromMs: request.sentAtMs, untilMs: end.atMs };
      const isChecked =
        isSilentMeanwhile(evidence.requestLog, request, open) &&
        !isTouched(evidence, request, open, { trace: traces.get(id), isCounted: () => true });
      const tookMs = Math.round(end.atMs - request.sentAtMs);
      const isEarly = tookMs < computeEarliestEndMs(evidence.requestLog, request);
      if (isChecked) yield { id, result, tookMs, isEarly };
    }
  }
}

export function checkEarlyEnds(evidence: Evidence, traces: Traces): EarlyEnds {
  const silentEnds = [...listSilentEnds(evidence, traces)];
  const violations = silentEnds.flatMap(({ id, result, tookMs, isEarly }) => {
    const seen = formatEarlyEnd(result);
    if (seen === undefined || !isEarly) return [];
    const text = `${id}: ${seen} after ${tookMs} ms, as targets of its service were silent`;
    return [{ rule: 'endedEarly', text }];
  });
  const whole = silentEnds.filter(
    ({ result }) => result.kind === 'answer' && result.status === OK && result.isComplete,
  );
  return { violations, counts: { silent: silentEnds.length, silentWhole: whole.length } };
}
