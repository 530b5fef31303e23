/** Checks that every request which its caller sent whole ends in an answer or a status; pure functions. */
import { isCrashing } from './callers';
import type { Evidence, Violation } from './checks';
import * as EarlyEnds from './earlyEnds';
import type { Traces } from './earlyEnds';
import type { CallerResult, RequestLog, SentRequest } from './requestLog';
import { DRAIN_GRACE_MS } from './routers';

/** A request that crosses the close of its kept connection ends sooner, and is not read. */
const CROSSING_MS = 300;
/** Last part of the grace period, in which a stop may break off what a target is still at work on. */
const STOP_SHARE = 5 / 6;
const OK = 200;

export interface AnsweredRequests {
  readonly violations: readonly Violation[];
  readonly counts: {
    /** Requests that no unplanned fault touched. */
    readonly undisturbed: number;
    /** Answers that a planned stop broke off at the end of its grace period. */
    readonly stopped: number;
  };
}

interface EndedRequest {
  readonly request: SentRequest;
  readonly result: CallerResult;
  readonly endedAtMs: number;
  /** Whether a target ran it. */
  readonly hasRun: boolean;
}

function* listUndisturbed(evidence: Evidence, traces: Traces): Generator<EndedRequest> {
  const { requests, results, ends } = evidence.requestLog;
  const ran = new Set(
    evidence.incarnations.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
  );
  for (const [id, request] of requests) {
    const [result, end] = [results.get(id), ends.get(id)];
    if (result !== undefined && end !== undefined && !end.hasCallerLeft && !isCrashing(id)) {
      const open = { fromMs: request.sentAtMs, untilMs: end.atMs };
      const isTouched = EarlyEnds.isTouched(evidence, request, open, {
        trace: traces.get(id),
        isCounted: ({ isPlanned }) => isPlanned !== true,
      });
      if (!isTouched) yield { request, result, endedAtMs: end.atMs, hasRun: ran.has(id) };
    }
  }
}

/** How the request ended without an answer or a status; undefined where it did not. */
function findLoss(
  { request, result, endedAtMs, hasRun }: EndedRequest,
  traces: Traces,
): string | undefined {
  if (result.kind === 'answer') {
    return result.status === OK && !result.isComplete ? 'closed in the middle' : undefined;
  }
  if (result.wasRefused === true) return undefined;
  const isLong = !request.isSlow && endedAtMs - request.sentAtMs > CROSSING_MS;
  return hasRun || traces.has(request.id) || isLong ? 'no answer' : undefined;
}

/** Whether a planned stop of its router broke off an answer that had begun, at the end of the grace period. */
function isStopped(
  { faults }: RequestLog,
  { request, result, endedAtMs, hasRun }: EndedRequest,
): boolean {
  return faults.some(
    ({ component, isPlanned, fromMs, untilMs }) =>
      isPlanned === true &&
      component === `router ${request.router}` &&
      result.kind === 'answer' &&
      hasRun &&
      endedAtMs >= fromMs + DRAIN_GRACE_MS * STOP_SHARE &&
      endedAtMs <= untilMs,
  );
}

/**
 * A planned stop, SIGHUP and a configuration excuse nothing; answers that a planned stop broke off at the end of its
 * grace period are counted apart.
 */
export function checkAnswered(evidence: Evidence, traces: Traces): AnsweredRequests {
  const undisturbed = [...listUndisturbed(evidence, traces)];
  const lost = undisturbed.flatMap((ended) => {
    const { request, endedAtMs } = ended;
    const seen = findLoss(ended, traces);
    const tookMs = Math.round(endedAtMs - request.sentAtMs);
    const isLate = tookMs >= EarlyEnds.computeEarliestEndMs(evidence.requestLog, request);
    return seen === undefined || isLate ? [] : [{ ended, seen, tookMs }];
  });
  const isAllowed = ({ ended }: (typeof lost)[number]) => isStopped(evidence.requestLog, ended);
  const violations = lost
    .filter((one) => !isAllowed(one))
    .map(({ ended: { request }, seen, tookMs }) => ({
      rule: 'answered',
      text: `${request.id}: ${seen} after ${tookMs} ms at router ${request.router}, which no unplanned fault touched`,
    }));
  return {
    violations,
    counts: { undisturbed: undisturbed.length, stopped: lost.filter(isAllowed).length },
  };
}
