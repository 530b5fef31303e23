/** Lets a target send without end, and checks that its flows are cut and that requests are served meanwhile. */
import type { EndlessFlow, EndlessScope } from '@sequoiarill/standins';

import { isCrashing } from './callers';
import type { Evidence, Violation } from './checks';
import * as EarlyEnds from './earlyEnds';
import type { RequestTrace } from './earlyEnds';
import type { Environment } from './environment';
import * as RequestLogs from './requestLog';
import type { CallerResult, ComponentFault, SentRequest } from './requestLog';
import type { Action } from './schedule';

const MAX_FLOW_MS = 10_000;
/** One in so many streams and reads that met a flow may fail. */
const FAILED_INTERVAL = 20;
const POLL_MS = 20;
const FAILURES: ReadonlySet<number> = new Set([502, 504]);
const CALL_SCOPES: readonly EndlessScope[] = [
  'reports',
  'statusChecks',
  'cacheListings',
  'copyCommands',
];

export interface FloodChecks {
  readonly violations: readonly Violation[];
  /** Requests that met a flow, or were open beside one, and that no other fault touched. */
  readonly counts: { readonly flooded: number; readonly besideFloods: number };
}

interface EndedRequest {
  readonly request: SentRequest;
  readonly result: CallerResult;
  readonly open: { readonly fromMs: number; readonly untilMs: number };
}

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** The fault of the target lasts until its flows have ended, or should have. */
export async function simulateFlood(
  { targets, requestLog }: Environment,
  { flooding, form, scope }: Extract<Action, { kind: 'flood' }>,
  forMs: number,
): Promise<void> {
  const incarnation = targets[flooding]?.getCurrent();
  if (incarnation === undefined) return;
  const fault = {
    component: incarnation.id,
    fromMs: performance.now(),
    untilMs: Number.POSITIVE_INFINITY,
  };
  requestLog.faults.push(fault);
  requestLog.floods.push(fault);
  const scopes: readonly EndlessScope[] = scope === 'calls' ? CALL_SCOPES : ['requests'];
  incarnation.setEndless({ forms: [form], scopes });
  await waitMs(forMs);
  incarnation.setEndless(undefined);
  const latestMs = performance.now() + MAX_FLOW_MS;
  const isOpen = () =>
    incarnation.listEndlessFlows().some(({ endedAtMs }) => endedAtMs === undefined);
  while (isOpen() && performance.now() < latestMs) await waitMs(POLL_MS);
  fault.untilMs = performance.now();
}

function listEnded({ requestLog }: Evidence): readonly EndedRequest[] {
  const { requests, results, ends } = requestLog;
  return [...requests.values()].flatMap((request) => {
    const [result, end] = [results.get(request.id), ends.get(request.id)];
    if (result === undefined || end === undefined) return [];
    if (end.hasCallerLeft || isCrashing(request.id)) return [];
    return [{ request, result, open: { fromMs: request.sentAtMs, untilMs: end.atMs } }];
  });
}

function formatFailure(result: CallerResult): string | undefined {
  if (result.kind === 'noAnswer') return 'no answer';
  if (FAILURES.has(result.status)) return String(result.status);
  if (result.isComplete) return undefined;
  return `${result.status}, closed`;
}

function isBesideFlood({ open }: EndedRequest, floods: readonly ComponentFault[]): boolean {
  return floods.some((flood) => flood.fromMs <= open.untilMs && flood.untilMs >= open.fromMs);
}

/** `flows` of requests that no other fault touched. */
function* checkFlows(
  flows: readonly EndlessFlow[],
  untouched: ReadonlySet<string>,
  nowMs: number,
): Generator<Violation> {
  for (const { form, scope, requestId = '', startedAtMs, endedAtMs = nowMs, bytes } of flows) {
    const tookMs = Math.round(endedAtMs - startedAtMs);
    if (untouched.has(requestId) && tookMs > MAX_FLOW_MS) {
      yield { rule: 'flowCut', text: `${requestId}: ${form}, ${tookMs} ms, ${bytes} bytes` };
    }
    if (endedAtMs === nowMs) {
      yield { rule: 'flowClosed', text: `${requestId}: ${form} for ${scope} is open at the end` };
    }
  }
}

/** Requests that met a flow: a few streams and reads may fail, and each request gets an answer. */
function* checkFlooded(flooded: readonly EndedRequest[]): Generator<Violation> {
  for (const { request, result } of flooded) {
    if (result.kind === 'noAnswer') {
      yield { rule: 'floodAnswer', text: `${request.id}: no answer beside a flow` };
    }
  }
  const repeatable = flooded.filter(({ request }) => RequestLogs.isRepeatable(request.kind));
  const failed = repeatable.filter(({ result }) => formatFailure(result) !== undefined);
  if (failed.length <= Math.max(1, repeatable.length / FAILED_INTERVAL)) return;
  const seen = failed.map(({ request, result }) => `${request.id} ${formatFailure(result) ?? ''}`);
  yield { rule: 'floodServed', text: `of ${repeatable.length} requests: ${seen.join(', ')}` };
}

/** Whether it lasted until the shorter time limit that its route has for a while. */
function isEndedByShortLimit(
  requestLog: Evidence['requestLog'],
  { request, open }: EndedRequest,
): boolean {
  const tookMs = open.untilMs - open.fromMs;
  return (
    EarlyEnds.hasShortLimit(requestLog, request) &&
    tookMs >= EarlyEnds.computeEarliestEndMs(requestLog, request)
  );
}

/** Requests at other targets are served as if nothing were wrong. */
function* checkBeside(
  requestLog: Evidence['requestLog'],
  beside: readonly EndedRequest[],
): Generator<Violation> {
  for (const ended of beside) {
    const { request, result } = ended;
    const failure = formatFailure(result);
    if (failure !== undefined && !isEndedByShortLimit(requestLog, ended)) {
      yield { rule: 'floodBeside', text: `${request.id}: ${failure} while another target floods` };
    }
  }
}

export function checkFloods(
  evidence: Evidence,
  traces: ReadonlyMap<string, RequestTrace>,
  flows: readonly EndlessFlow[],
): FloodChecks {
  const { floods } = evidence.requestLog;
  const isCounted = (fault: ComponentFault) => !floods.includes(fault);
  const metIds = new Set(flows.map(({ requestId }) => requestId));
  const untouched = listEnded(evidence).filter(
    ({ request, open }) =>
      !EarlyEnds.isTouched(evidence, request, open, { trace: traces.get(request.id), isCounted }),
  );
  const flooded = untouched.filter(({ request }) => metIds.has(request.id));
  const beside = untouched.filter(
    (one) => !metIds.has(one.request.id) && isBesideFlood(one, floods),
  );
  const untouchedIds = new Set(flooded.map(({ request }) => request.id));
  const violations = [
    ...checkFlows(flows, untouchedIds, performance.now()),
    ...checkFlooded(flooded),
    ...checkBeside(evidence.requestLog, beside),
  ];
  return { violations, counts: { flooded: flooded.length, besideFloods: beside.length } };
}
