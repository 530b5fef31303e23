/**
 * Maintains a copy of a run's KV cache on a second engine while the run lasts.
 *
 * Failure: the holder of the copy crashes, and a few seconds later the engine of the run does. The
 * stream then waits until its whole prompt is prefilled again, which takes longer than the
 * objective for pauses; where zones crash in turn, this causes half of the late streams. So another
 * copy is requested as soon as the holder is known to be lost, and whenever a better location
 * becomes available, while the run continues.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as EnginePairs from '../targets/enginePairs';
import * as EnginePlacements from '../targets/enginePlacements';
import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { ForwardingDependencies } from '../dependencies';

export interface RunCopy {
  readonly holder: ForwardingTarget;
  /** Location of the copy, as it is sent to the holder that continues the run: `IP:port/name`. */
  readonly location: string;
}

export interface CopyMonitor {
  /** The copy from which the next engine can continue; undefined while there is none. */
  readonly getCopy: () => RunCopy | undefined;
  /**
   * Must be called regularly while the run lasts; requests another copy when the last one is lost
   * or due.
   */
  readonly update: () => void;
  /** The run is complete and no longer needs a copy. */
  readonly release: () => void;
  /** The run has ended. */
  readonly close: () => void;
}

/** How often the holder is checked: well within the time between two crashes. */
const UPDATE_INTERVAL_MS = 200;
/** Delay after a failed command: a crashed engine is back after about twice this. */
const RETRY_DELAY_MS = 600;
/** Moves of a run's copy to another holder; each transfers the whole KV cache of the run. */
const MAX_MOVES = 4;

interface MonitoredCopy extends RunCopy {
  /** Undefined for the backup, which grows with its run. */
  readonly requestedAtMs: number | undefined;
}

/**
 * `holder` is sent to the engine with the request itself, and receives the KV cache as it grows.
 */
export function createCopyMonitor(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  engine: ForwardingTarget,
  holder: ForwardingTarget | undefined,
): CopyMonitor {
  const { clock, directory, registry } = dependencies;
  let copy: MonitoredCopy | undefined =
    holder === undefined
      ? undefined
      : { holder, location: `${holder.address}/${request.id}`, requestedAtMs: undefined };
  let updatedAtMs = clock.getNowMs();
  const tokens = EnginePairs.countNeededTokens(dependencies, request);
  let record = holder === undefined ? undefined : registry.recordCopy(holder, tokens);
  let moves = 0;
  let isPending = false;
  let isEnded = false;
  let handle: string | undefined;

  function isHolderAvailable(monitored: MonitoredCopy): boolean {
    const current = directory.findCurrent(monitored.holder);
    if (current?.state !== 'ready') return false;
    return !dependencies.registry.isSuspect(current);
  }

  function decideAction(monitored: MonitoredCopy): Decisions.CopyAction {
    const service = directory.getConfiguration()?.services.get(request.service);
    return Decisions.decideCopyAction({
      runZone: engine.zone,
      routerZone: dependencies.zone,
      holderZone: monitored.holder.zone,
      isHolderAvailable: isHolderAvailable(monitored),
      isLocalZoneAvailable: EnginePlacements.isLocalEngineAvailable(dependencies, request, engine),
      ageMs:
        monitored.requestedAtMs === undefined
          ? undefined
          : clock.getNowMs() - monitored.requestedAtMs,
      lifetimeMs: service?.engine?.copyLifetimeMs ?? Number.POSITIVE_INFINITY,
    });
  }

  async function createNextCopy(monitored: MonitoredCopy, action: 'move' | 'renew'): Promise<void> {
    const nextHolder =
      action === 'renew'
        ? monitored.holder
        : EnginePlacements.chooseBackup(dependencies, request, engine, monitored.holder);
    if (nextHolder === undefined) return;
    if (action === 'move') moves += 1;
    const requestedAtMs = clock.getNowMs();
    if (!isEnded) {
      record?.recordEnd();
      record = registry.recordCopy(nextHolder, tokens);
      record.recordBegun();
    }
    const newHandle = await dependencies.createCopy(engine, request.id, nextHolder);
    dependencies.metrics.addCount(Metrics.COPIES, 1, {
      outcome: newHandle === undefined ? 'failed' : 'made',
    });
    dependencies.log.logEvent(Events.STREAM_COPIED, {
      request: request.id,
      target: engine.id,
      action,
      lastKeeper: monitored.holder.id,
      keeper: nextHolder.id,
      isMade: newHandle !== undefined,
    });
    if (newHandle === undefined) {
      updatedAtMs = clock.getNowMs() + RETRY_DELAY_MS - UPDATE_INTERVAL_MS;
      return;
    }
    handle = newHandle;
    copy = { holder: nextHolder, location: `${engine.address}/${newHandle}`, requestedAtMs };
    if (isEnded) await dependencies.releaseCopy(engine, newHandle);
  }

  return {
    getCopy: () => copy,
    update() {
      const nowMs = clock.getNowMs();
      record?.recordBegun();
      if (copy === undefined || isPending || nowMs - updatedAtMs < UPDATE_INTERVAL_MS) return;
      updatedAtMs = nowMs;
      if (dependencies.notices.isResting(engine)) return;
      const action = decideAction(copy);
      if (action === 'keep' || (action === 'move' && moves >= MAX_MOVES)) return;
      isPending = true;
      createNextCopy(copy, action)
        .catch((error: unknown) => dependencies.log.logEvent(Events.ORDER_FAILED, { error }))
        .finally(() => {
          isPending = false;
        });
    },
    release() {
      isEnded = true;
      if (handle === undefined) return;
      dependencies.releaseCopy(engine, handle).catch((error: unknown) => {
        dependencies.log.logEvent(Events.ORDER_FAILED, { error });
      });
    },
    close: () => record?.recordEnd(),
  };
}
