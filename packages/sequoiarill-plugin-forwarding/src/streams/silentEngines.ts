/** Lets a stream wait while all engines of its service are silent and some of them are merely paused. */
import * as Decisions from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Placement from '../answers/placement';
import type { ForwardingDependencies } from '../dependencies';
import type { ForwardRequest } from '../forwardRequest';
import type { EnginePair } from '../targets/enginePairs';
import * as WaitEnds from './waitEnds';

/** Longer waits would delay a refusal by a noticeable part of the time in which its caller wants an answer. */
const MAX_WAIT_SHARE = 1 / 8;
/** Engines report their load in a few milliseconds; a read that is under way is shared by all streams. */
const ASK_INTERVAL_MS = 25;
/** Engines to which a connection is attempted. */
const CHECKED_ENGINES = 3;

/** Engines that would be tried by no further stream, since all of them were lost and are being tried. */
function listSilent(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): readonly ForwardingTarget[] {
  const { registry } = dependencies;
  const available = Placement.listAvailable(dependencies, request);
  const isSilent = (engine: ForwardingTarget) =>
    registry.isSuspect(engine) && registry.getInFlight(engine) > 0;
  return available.every(isSilent) ? available : [];
}

/** A paused process accepts connections, one that has ended or is cut off does not. */
async function hasPaused(
  { contacts, nextRandom }: ForwardingDependencies,
  engines: readonly ForwardingTarget[],
): Promise<boolean> {
  const candidates = engines.map((target) => ({ target, zone: target.zone, isLost: true }));
  const checked = Decisions.selectSurveyed(candidates, nextRandom).slice(0, CHECKED_ENGINES);
  const results = await Promise.all(
    // The caller may not wait for the result; an address that cannot be tried is no sign of a pause.
    checked.map(({ target }) => contacts.checkConnection(target).catch(() => 'silent' as const)),
  );
  return results.includes('alive');
}

/** Whether an engine is paused, where all are silent; known after a single connection timeout. */
export async function checkPause(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): Promise<boolean> {
  const { relays, brittle } = dependencies;
  if (relays.isPossible(request) || brittle.isBrittle(request.service)) return false;
  const silent = listSilent(dependencies, request);
  return silent.length > 0 && hasPaused(dependencies, silent);
}

/** A router that is about to stop lets a stream that has begun wait for as long as it runs. */
function isEnded(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  isBegun: boolean,
): boolean {
  if (isBegun) return request.closed.aborted;
  return WaitEnds.findWaitEnd(dependencies, request) !== undefined;
}

/** How long the stream may wait: one that has begun cannot be refused any more. */
function computeMaxWaitMs(
  { clock }: ForwardingDependencies,
  { route, expiresAtMs }: ForwardRequest,
  isBegun: boolean,
): number {
  return isBegun ? expiresAtMs - clock.getNowMs() : route.objectiveMs * MAX_WAIT_SHARE;
}

/**
 * Engines for a stream, where one is paused, as soon as one of them answers; undefined where none does in time.
 *
 * Failure: all engines are paused for a second, and each new stream is refused after one unanswered read of their load,
 * the last ones milliseconds before the engines go on; a stream that has begun and lost its engine is closed. Another router
 * that may be asked is asked at once.
 */
export async function waitForEngines(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  isBegun: boolean,
  readEngines: () => Promise<EnginePair | undefined>,
): Promise<EnginePair | undefined> {
  const { clock } = dependencies;
  const startedMs = clock.getRunningMs();
  const maxWaitMs = computeMaxWaitMs(dependencies, request, isBegun);
  while (clock.getRunningMs() - startedMs < maxWaitMs) {
    if (clock.getNowMs() >= request.expiresAtMs) return undefined;
    if (isEnded(dependencies, request, isBegun)) return undefined;
    await clock.waitMs(ASK_INTERVAL_MS, request.closed);
    const pair = await readEngines();
    if (pair !== undefined || listSilent(dependencies, request).length === 0) return pair;
  }
  return undefined;
}
