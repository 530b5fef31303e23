/** Requests of a simulated roll-out, and how targets of both versions answer them. */
import type { NextRandom } from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget, VersionAttemptResult } from '@sequoiarill/types';

import type { RolloutCase } from './rolloutCase';
import type { Environment } from './simulatedEnvironment';
import type { SimulatedFleet, SimulatedRouter } from './simulatedFleet';

/** Versions of the service before and after the roll-out. */
export const OLD = 'v1';
export const NEW = 'v2';
/** Time with load before the order is written. */
export const LOAD_BEFORE_ORDER_MS = 2_000;

/** Mean duration of a request as a share of its objective. */
const REQUEST_OBJECTIVE_SHARE = 0.15;
const SLOW_FACTOR = 4;
/** Bad answers after which the version should get no more requests. */
const ROLLBACK_DUE_BAD_ANSWERS = 50;
const FAILING_TARGET_FAILURES = 0.5;
/** Share of the usual load from which a target counts as loaded. */
const LOADED_SHARE = 0.7;
const LOAD_WINDOW_MS = 1_000;

interface RunningRequest {
  readonly target: ForwardingTarget;
  readonly router: SimulatedRouter;
  readonly startMs: number;
  readonly endMs: number;
  readonly isFailure: boolean;
  readonly recordEnd: (end: VersionAttemptResult) => void;
}

export interface SimulatedTraffic {
  readonly startRequest: (nowMs: number) => void;
  readonly closeEndedRequests: (nowMs: number) => void;
  /** Stops the targets of the old version; returns the number of in-flight requests that were lost. */
  readonly stopOldVersion: () => number;
  /** Makes the target fail half of its requests until the given time. */
  readonly setFailing: (target: ForwardingTarget, untilMs: number) => void;
  readonly getCounts: () => {
    readonly requests: number;
    readonly exposed: number;
    readonly afterRollbackMs: number;
  };
}

export function createSimulatedTraffic(
  rolloutCase: RolloutCase,
  environment: Environment,
  fleet: SimulatedFleet,
  nextRandom: NextRandom,
): SimulatedTraffic {
  const failingUntilMs = new Map<string, number>();
  let running: readonly RunningRequest[] = [];
  let recentStarts: readonly { readonly id: string; readonly atMs: number }[] = [];
  let requests = 0;
  let exposed = 0;
  let badAnswers = 0;
  let rollbackDueAtMs = Number.POSITIVE_INFINITY;
  let afterRollbackMs = 0;

  function sampleOne<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(nextRandom() * items.length)];
  }

  function isLoaded({ id }: ForwardingTarget): boolean {
    const usualStarts =
      (rolloutCase.requestsPerSecond * LOAD_WINDOW_MS) / 1_000 / rolloutCase.oldTargets;
    return recentStarts.filter((start) => start.id === id).length >= usualStarts * LOADED_SHARE;
  }

  function isBadAnswer(target: ForwardingTarget, route: string, sinceMs: number): boolean {
    const { bad } = rolloutCase;
    if (bad === undefined || target.version !== NEW || sinceMs < (bad.fromMs ?? 0)) return false;
    if (bad.route !== undefined && bad.route !== route) return false;
    if (bad.onlyUnderLoad === true && !isLoaded(target)) return false;
    return nextRandom() < bad.share;
  }

  function recordExposure(target: ForwardingTarget, nowMs: number, isCounted: boolean): void {
    if (target.version !== NEW) return;
    if (isCounted) exposed += 1;
    if (nowMs > rollbackDueAtMs) afterRollbackMs = nowMs - rollbackDueAtMs;
  }

  function recordBad(endMs: number): void {
    badAnswers += 1;
    if (badAnswers === ROLLBACK_DUE_BAD_ANSWERS) rollbackDueAtMs = endMs;
  }

  function sendRequest(router: SimulatedRouter, target: ForwardingTarget, nowMs: number): void {
    const route = sampleOne(rolloutCase.routes) ?? '';
    const isBad = isBadAnswer(target, route, nowMs - LOAD_BEFORE_ORDER_MS);
    const isFailing =
      (failingUntilMs.get(target.id) ?? 0) > nowMs && nextRandom() < FAILING_TARGET_FAILURES;
    const factor = isBad && rolloutCase.bad?.how === 'slow' ? SLOW_FACTOR : 1;
    const endMs = nowMs + rolloutCase.meanRequestMs * (0.5 + nextRandom()) * factor;
    if (isBad) recordBad(endMs);
    const isBaseFailure = nextRandom() < rolloutCase.baseFailureShare;
    const isFailure = isBaseFailure || isFailing || (isBad && rolloutCase.bad?.how === 'fails');
    const objectiveMs = rolloutCase.meanRequestMs / REQUEST_OBJECTIVE_SHARE;
    const recordEnd = router.rollouts.recordAttempt({ target, route, objectiveMs });
    router.addInFlight(target, 1);
    running = [...running, { target, router, startMs: nowMs, endMs, isFailure, recordEnd }];
  }

  return {
    startRequest(nowMs) {
      const sinceMs = nowMs - LOAD_BEFORE_ORDER_MS;
      const isCounted = sinceMs >= 0 && sinceMs < rolloutCase.durationMs;
      if (isCounted) requests += 1;
      const router = sampleOne(fleet.routers.filter(({ node }) => !node.stopped.aborted));
      if (router === undefined) return;
      const target = sampleOne(
        router.rollouts.selectTargets(environment.listTargets(), nextRandom()),
      );
      if (target === undefined) return;
      recordExposure(target, nowMs, isCounted);
      recentStarts = [...recentStarts, { id: target.id, atMs: nowMs }];
      sendRequest(router, target, nowMs);
    },
    closeEndedRequests(nowMs) {
      const ended = running.filter(({ endMs }) => endMs <= nowMs);
      for (const { router, target, endMs, isFailure, recordEnd } of ended) {
        router.addInFlight(target, -1);
        const end = isFailure ? 'failed' : 'answered';
        recordEnd(endMs > nowMs ? 'unknown' : end);
      }
      running = running.filter((one) => !ended.includes(one));
      recentStarts = recentStarts.filter(({ atMs }) => atMs > nowMs - LOAD_WINDOW_MS);
    },
    stopOldVersion() {
      const stopped = running.filter(({ target }) => target.version === OLD);
      running = running.filter(({ target }) => target.version !== OLD);
      environment.setTargets(environment.listTargets().filter(({ version }) => version !== OLD));
      return stopped.length;
    },
    setFailing: ({ id }, untilMs) => failingUntilMs.set(id, untilMs),
    getCounts: () => ({ requests, exposed, afterRollbackMs: Math.round(afterRollbackMs) }),
  };
}
