/**
 * Keeps a copy of a run's memory at a second engine for as long as the run lasts.
 *
 * Failure: the engine that keeps the copy crashes, and some seconds later the one of the run does. The
 * stream then waits for its whole prompt to be read again, longer than any pause that is on time; where
 * zones crash in turn, half of the late streams come from that. So another copy is ordered as soon as the
 * keeper is known to be gone, and whenever a better place for it opens; the run goes on meanwhile.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as EnginePlacements from '../targets/enginePlacements';
import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';

export interface RunCopy {
  readonly keeper: ForwardingTarget;
  /** Where the copy lies, as it is told to the keeper: `IP:port/name`. */
  readonly place: string;
}

export interface CopyMonitor {
  /** The copy that the next engine can go on from; undefined while there is none. */
  readonly getCopy: () => RunCopy | undefined;
  /** To be called now and then while the run lasts: orders another copy where the last one is gone. */
  readonly update: () => void;
  /** The run has ended whole, and needs no copy any more. */
  readonly release: () => void;
}

/** How often the keeper is looked after, milliseconds: well within the time between two crashes. */
const UPDATE_MS = 200;
/** Pause after an order that failed, milliseconds: a crashed engine is back after about twice that. */
const FAILED_PAUSE_MS = 600;
/** Copies moved to another keeper for one run; each takes the whole memory of the run. */
const MAX_MOVES = 4;
interface KnownCopy extends RunCopy {
  /** Undefined for the copy that grows with its run. */
  readonly orderedAtMs: number | undefined;
}

/** `keeper` is told with the request itself, and gets the memory as it grows. */
export function createCopyMonitor(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  engine: ForwardingTarget,
  holder: ForwardingTarget | undefined,
): CopyMonitor {
  const { clock, directory } = dependencies;
  let copy: KnownCopy | undefined =
    holder === undefined
      ? undefined
      : { keeper: holder, place: `${holder.address}/${request.id}`, orderedAtMs: undefined };
  let updatedMs = clock.getNowMs();
  let moves = 0;
  let isOrdering = false;
  let isEnded = false;
  let handle: string | undefined;

  function isSafe(known: KnownCopy): boolean {
    const current = directory.findCurrent(known.keeper);
    if (current?.state !== 'ready' || dependencies.rollouts.isLeaving(current)) return false;
    return !dependencies.registry.isSuspect(current);
  }

  function decideAction(known: KnownCopy): Decisions.CopyAction {
    const service = directory.getConfiguration()?.services.get(request.service);
    return Decisions.decideCopyAction({
      runZone: engine.zone,
      routerZone: dependencies.zone,
      holderZone: known.keeper.zone,
      isHolderAvailable: isSafe(known),
      isLocalZoneAvailable: EnginePlacements.isHomeOpen(dependencies, request),
      ageMs: known.orderedAtMs === undefined ? undefined : clock.getNowMs() - known.orderedAtMs,
      lifetimeMs: service?.engine?.copyLifetimeMs ?? Number.POSITIVE_INFINITY,
    });
  }

  async function createNextCopy(known: KnownCopy, action: 'move' | 'renew'): Promise<void> {
    const next =
      action === 'renew'
        ? known.keeper
        : EnginePlacements.chooseBackup(dependencies, request, engine, known.keeper);
    if (next === undefined) return;
    if (action === 'move') moves += 1;
    const orderedAtMs = clock.getNowMs();
    const made = await dependencies.createCopy(engine, request.id, next);
    dependencies.metrics.addCount(Metrics.COPIES, 1, {
      outcome: made === undefined ? 'failed' : 'made',
    });
    dependencies.log.logEvent(Events.STREAM_COPIED, {
      request: request.id,
      target: engine.id,
      action,
      lastKeeper: known.keeper.id,
      keeper: next.id,
      isMade: made !== undefined,
    });
    if (made === undefined) {
      updatedMs = clock.getNowMs() + FAILED_PAUSE_MS - UPDATE_MS;
      return;
    }
    handle = made;
    copy = { keeper: next, place: `${engine.address}/${made}`, orderedAtMs };
    if (isEnded) await dependencies.releaseCopy(engine, made);
  }

  return {
    getCopy: () => copy,
    update() {
      const nowMs = clock.getNowMs();
      if (copy === undefined || isOrdering || nowMs - updatedMs < UPDATE_MS) return;
      updatedMs = nowMs;
      const action = decideAction(copy);
      if (action === 'keep' || (action === 'move' && moves >= MAX_MOVES)) return;
      isOrdering = true;
      createNextCopy(copy, action)
        .catch((error: unknown) => dependencies.log.logEvent(Events.ORDER_FAILED, { error }))
        .finally(() => {
          isOrdering = false;
        });
    },
    release() {
      isEnded = true;
      if (handle === undefined) return;
      dependencies.releaseCopy(engine, handle).catch((error: unknown) => {
        dependencies.log.logEvent(Events.ORDER_FAILED, { error });
      });
    },
  };
}
