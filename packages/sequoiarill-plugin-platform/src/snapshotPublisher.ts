/**
 * Holds the current snapshot and publishes new ones to subscribers. Changes in quick succession are
 * merged into one snapshot.
 *
 * Load pattern: in working hours, bursts of tens of edits per second, each to one of hundreds of
 * sections. Without merging, each edit would rebuild maps with thousands of entries while tokens
 * wait to be relayed. After a build that took t, the next one waits 100 t, so that builds use at
 * most 1% of a core, out of the 2.2% allowed for the entire control plane. The wait is at most one
 * second, out of the eight seconds within which a change must take effect.
 */
import type { Clock, Configuration, LogEvent, Metrics, Unsubscribe } from '@sequoiarill/types';

import * as Events from './events';

/** Waiting time as a multiple of the build time. */
const WAIT_RATIO = 100;
const MAX_WAIT_MS = 1_000;

export interface SnapshotPublisher {
  readonly getConfiguration: () => Configuration;
  readonly subscribe: (listener: (configuration: Configuration) => void) => Unsubscribe;
  /** Builds a snapshot now, or after a delay if the last build was too recent. */
  readonly updateThrottled: () => void;
  /** Wall-clock time of the last build, or undefined before the first. */
  readonly getAppliedAt: () => string | undefined;
}

export interface SnapshotPublisherOptions {
  readonly clock: Clock;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly initial: Configuration;
  readonly buildNext: (current: Configuration) => Configuration;
}

/**
 * A build or a listener that throws has violated an invariant, which must stop the process. Rethrows
 * the error outside the promise of a delayed build, so that it does so as after a direct call.
 */
function failProcess(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}

export function createSnapshotPublisher(options: SnapshotPublisherOptions): SnapshotPublisher {
  const { clock, logEvent, metrics } = options;
  const listeners = new Set<(configuration: Configuration) => void>();
  let configuration = options.initial;
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
    updateThrottled() {
      if (isWaiting) return;
      if (clock.getNowMs() >= nextBuildMs) updateNow();
      else updateLater().catch(failProcess);
    },
    getAppliedAt: () => appliedAt,
  };
}
