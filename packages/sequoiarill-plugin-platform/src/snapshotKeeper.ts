/**
 * Keeps the snapshot in force and tells of new ones. Changes that come faster than building is worth
 * are merged into one.
 *
 * Pattern of load: a burst of edits, tens a second in working hours, each touching one of hundreds of
 * sections. Without merging, each edit would cost a build of maps with thousands of entries while
 * tokens wait to be relayed. After a build that took t, the next one waits 100 t, so that building
 * takes a hundredth of a core at most, of the 2.2% that all of control may take; and never longer
 * than a second, of the eight in which a change must be in force.
 */
import type { Clock, Configuration, LogEvent, Metrics, Unsubscribe } from '@sequoiarill/types';

import * as Events from './events';

/** Waiting time for each unit of building time. */
const WAIT_RATIO = 100;
const MAX_WAIT_MS = 1_000;

export interface SnapshotKeeper {
  readonly getConfiguration: () => Configuration;
  readonly subscribe: (listener: (configuration: Configuration) => void) => Unsubscribe;
  /** Builds now, or soon when the last build was just before. */
  readonly updateSoon: () => void;
  /** Wall clock of the last build; undefined before the first. */
  readonly getAppliedAt: () => string | undefined;
}

export interface SnapshotKeeperOptions {
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly first: Configuration;
  readonly buildNext: (current: Configuration) => Configuration;
}

/** A build or a listener that throws is a broken invariant, here as well as in the direct call. */
function failProcess(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}

export function createSnapshotKeeper(options: SnapshotKeeperOptions): SnapshotKeeper {
  const { clock, logEvent, metrics } = options;
  const listeners = new Set<(configuration: Configuration) => void>();
  let configuration = options.first;
  let appliedAt: string | undefined;
  let nextBuildMs = Number.NEGATIVE_INFINITY;
  let isWaiting = false;

  function updateNow(): void {
    const startedMs = clock.getNowMs();
    configuration = options.buildNext(configuration);
    const endedMs = clock.getNowMs();
    nextBuildMs = endedMs + Math.min(MAX_WAIT_MS, (endedMs - startedMs) * WAIT_RATIO);
    appliedAt = clock.getWallTime();
    const { revision } = configuration;
    metrics.recordTiming('configuration.build_ms', endedMs - startedMs);
    metrics.setGauge('configuration.revision', revision);
    logEvent(Events.CONFIGURATION_APPLIED, { revision });
    listeners.forEach((listener) => listener(configuration));
  }

  async function updateLater(): Promise<void> {
    isWaiting = true;
    await clock.waitMs(nextBuildMs - clock.getNowMs());
    isWaiting = false;
    updateNow();
  }

  return {
    getConfiguration: () => configuration,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    updateSoon() {
      if (isWaiting) return;
      if (clock.getNowMs() >= nextBuildMs) updateNow();
      else updateLater().catch(failProcess);
    },
    getAppliedAt: () => appliedAt,
  };
}
