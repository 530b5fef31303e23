/** Requests of a played roll-out, and how targets of both versions answer them. */
import type { NextRandom } from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget, VersionAttemptResult } from '@sequoiarill/types';

import type { RolloutCase } from './rolloutCase';
import type { PlayedFleet, PlayedRouter } from './simulatedFleet';
import type { World } from './simulatedEnvironment';

export const OLD = 'v1';
export const NEW = 'v2';
/** Load before the order, milliseconds. */
export const BEFORE_MS = 2_000;

/** Of the objective, that a usual request takes. */
const WORK_SHARE = 0.15;
const SLOW_FACTOR = 4;
const BAD_ANSWERS = 50;
const GREY_FAILURES = 0.5;
/** Share of the usual load from which a target counts as loaded. */
const LOADED_SHARE = 0.7;
const LOAD_WINDOW_MS = 1_000;
/** A stream leaves so long after its version is to stop, milliseconds. */
const HANDOVER_MS = 400;

interface Running {
  readonly target: ForwardingTarget;
  readonly router: PlayedRouter;
  readonly startMs: number;
  readonly endMs: number;
  readonly isFailure: boolean;
  readonly recordEnd: (end: VersionAttemptResult) => void;
}

export interface PlayedTraffic {
  readonly startRequest: (nowMs: number) => void;
  readonly closeRequests: (nowMs: number) => void;
  /** The old version stops: the number of requests that were cut. */
  readonly stopOld: () => number;
  /** The target fails half of its answers until then. */
  readonly setGrey: (target: ForwardingTarget, untilMs: number) => void;
  readonly getCounts: () => {
    readonly requests: number;
    readonly exposed: number;
    readonly afterRollbackMs: number;
  };
}

export function createPlayedTraffic(
  played: RolloutCase,
  world: World,
  fleet: PlayedFleet,
  nextRandom: NextRandom,
): PlayedTraffic {
  const greyUntilMs = new Map<string, number>();
  let running: readonly Running[] = [];
  let recentStarts: readonly { readonly id: string; readonly atMs: number }[] = [];
  let requests = 0;
  let exposed = 0;
  let badAnswers = 0;
  let manyBadMs = Number.POSITIVE_INFINITY;
  let afterRollbackMs = 0;

  function pickOne<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(nextRandom() * items.length)];
  }

  function isLoaded({ id }: ForwardingTarget): boolean {
    const usual = (played.requestsPerS * LOAD_WINDOW_MS) / 1_000 / played.oldTargets;
    return recentStarts.filter((start) => start.id === id).length >= usual * LOADED_SHARE;
  }

  function isBadNow(target: ForwardingTarget, route: string, sinceMs: number): boolean {
    const { bad } = played;
    if (bad === undefined || target.version !== NEW || sinceMs < (bad.fromMs ?? 0)) return false;
    if (bad.route !== undefined && bad.route !== route) return false;
    if (bad.onlyUnderLoad === true && !isLoaded(target)) return false;
    return nextRandom() < bad.share;
  }

  function recordExposure(target: ForwardingTarget, nowMs: number, isCounted: boolean): void {
    if (target.version !== NEW) return;
    if (isCounted) exposed += 1;
    if (nowMs > manyBadMs) afterRollbackMs = nowMs - manyBadMs;
  }

  function recordBad(endMs: number): void {
    badAnswers += 1;
    if (badAnswers === BAD_ANSWERS) manyBadMs = endMs;
  }

  function sendRequest(router: PlayedRouter, target: ForwardingTarget, nowMs: number): void {
    const route = pickOne(played.routes) ?? '';
    const isBad = isBadNow(target, route, nowMs - BEFORE_MS);
    const isGrey = (greyUntilMs.get(target.id) ?? 0) > nowMs && nextRandom() < GREY_FAILURES;
    const factor = isBad && played.bad?.how === 'slow' ? SLOW_FACTOR : 1;
    const endMs = nowMs + played.workMs * (0.5 + nextRandom()) * factor;
    if (isBad) recordBad(endMs);
    const isUsual = nextRandom() < played.usualFailures;
    const isFailure = isUsual || isGrey || (isBad && played.bad?.how === 'fails');
    const objectiveMs = played.workMs / WORK_SHARE;
    const recordEnd = router.rollouts.recordSend({ target, route, objectiveMs });
    router.addInFlight(target, 1);
    running = [...running, { target, router, startMs: nowMs, endMs, isFailure, recordEnd }];
  }

  function isOver({ endMs, target, router, startMs }: Running, nowMs: number): boolean {
    if (endMs <= nowMs) return true;
    const isLeaving = played.canHandOver && router.rollouts.isLeaving(target);
    return isLeaving && nowMs - startMs > HANDOVER_MS;
  }

  return {
    startRequest(nowMs) {
      const sinceMs = nowMs - BEFORE_MS;
      const isCounted = sinceMs >= 0 && sinceMs < played.durationMs;
      if (isCounted) requests += 1;
      const router = pickOne(fleet.routers.filter(({ node }) => !node.died.aborted));
      if (router === undefined) return;
      const target = pickOne(router.rollouts.selectTargets(world.listTargets(), nextRandom()));
      if (target === undefined) return;
      recordExposure(target, nowMs, isCounted);
      recentStarts = [...recentStarts, { id: target.id, atMs: nowMs }];
      sendRequest(router, target, nowMs);
    },
    closeRequests(nowMs) {
      const over = running.filter((one) => isOver(one, nowMs));
      for (const { router, target, endMs, isFailure, recordEnd } of over) {
        router.addInFlight(target, -1);
        const end = isFailure ? 'failed' : 'answered';
        recordEnd(endMs > nowMs ? 'unknown' : end);
      }
      running = running.filter((one) => !over.includes(one));
      recentStarts = recentStarts.filter(({ atMs }) => atMs > nowMs - LOAD_WINDOW_MS);
    },
    stopOld() {
      const stopped = running.filter(({ target }) => target.version === OLD);
      running = running.filter(({ target }) => target.version !== OLD);
      world.setTargets(world.listTargets().filter(({ version }) => version !== OLD));
      return played.canHandOver ? 0 : stopped.length;
    },
    setGrey: ({ id }, untilMs) => greyUntilMs.set(id, untilMs),
    getCounts: () => ({ requests, exposed, afterRollbackMs: Math.round(afterRollbackMs) }),
  };
}
