/**
 * Observes how busy the event loop of this process is.
 *
 * Failure: a process that runs without a wait serves late or not at all, and nothing tells whether a loop spins, more
 * work arrived than its processor bears, collections take the time, or the process was paused. Of a loop that never
 * returns to its timers nothing can be logged; its last line says what was done before.
 */
import type { EventDefinition, LogEvent, Metrics } from '@sequoiarill/types';

import type { CollectionRecord } from './collections';
import * as KernelEvents from './kernelEvents';
import * as LoopMetrics from './loopMetrics';

/** All since the start of the process, milliseconds. */
export interface LoopReading {
  readonly nowMs: number;
  /** Time in which the event loop waited for events. */
  readonly idleMs: number;
  /** Processor time of all threads. */
  readonly processorMs: number;
}

export interface LoopMonitorOptions {
  readonly readLoop: () => LoopReading;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly collections: Pick<CollectionRecord, 'takeCounts'>;
  readonly computeHeapShare: () => number;
  /** What was done since the last call, by name. */
  readonly takeWork: () => Readonly<Record<string, number>>;
}

export interface LoopMonitor {
  /** Must be called by a timer every `tickMs`. */
  readonly recordTick: (tickMs: number) => void;
}

interface Turn {
  readonly lastedMs: number;
  readonly processorMs: number;
}

const REPORT_INTERVAL_MS = 5_000;
/** A turn this long holds every request of the process up. */
const LONG_TURN_MS = 1_000;
/** A loop that is busy for this long is logged, and again each time that the time has doubled. */
const BUSY_MS = 3_000;
/** The loop asks for events at the end of each turn, which takes some microseconds also where it does not wait. */
const MIN_IDLE_MS = 0.5;
const NO_TURN: Turn = { lastedMs: 0, processorMs: 0 };

function computeSpan(from: LoopReading, to: LoopReading): LoopReading {
  return {
    nowMs: to.nowMs - from.nowMs,
    idleMs: to.idleMs - from.idleMs,
    processorMs: to.processorMs - from.processorMs,
  };
}

export function createLoopMonitor(options: LoopMonitorOptions): LoopMonitor {
  const { readLoop, logEvent, metrics, collections } = options;
  let last = readLoop();
  let reported = last;
  let longestTurn = NO_TURN;
  /** The last time at which the loop was seen to wait. */
  let idle = last;
  let nextBusyMs = BUSY_MS;
  let collectionMs = 0;

  function logWork(event: EventDefinition, { nowMs, processorMs }: LoopReading): void {
    logEvent(event, {
      lastedMs: Math.round(nowMs),
      processorMs: Math.round(processorMs),
      heapShare: Number(options.computeHeapShare().toFixed(2)),
      collectionMs: Math.round(collectionMs),
      work: options.takeWork(),
    });
  }

  function recordTurn(span: LoopReading, tickMs: number): void {
    const lastedMs = span.nowMs - tickMs;
    const turn = { lastedMs, processorMs: Math.min(span.processorMs, span.nowMs) };
    if (lastedMs > longestTurn.lastedMs) longestTurn = turn;
    if (lastedMs >= LONG_TURN_MS) {
      logWork(KernelEvents.TURN_LONG, { ...span, ...turn, nowMs: lastedMs });
    }
  }

  function recordBusy(reading: LoopReading, { idleMs }: LoopReading): void {
    const busy = computeSpan(idle, reading);
    if (idleMs >= MIN_IDLE_MS) {
      if (nextBusyMs > BUSY_MS) logWork(KernelEvents.LOOP_IDLE, busy);
      idle = reading;
      nextBusyMs = BUSY_MS;
    } else if (busy.nowMs >= nextBusyMs) {
      nextBusyMs = 2 * busy.nowMs;
      logWork(KernelEvents.LOOP_BUSY, busy);
    }
  }

  function takeCollections(): void {
    for (const [kind, { count, totalMs }] of collections.takeCounts()) {
      collectionMs += totalMs;
      metrics.addCount(LoopMetrics.COLLECTIONS, count, { kind });
    }
  }

  function reportWindow(reading: LoopReading): void {
    const { nowMs, idleMs } = computeSpan(reported, reading);
    metrics.setGauge(LoopMetrics.LOOP_IDLE_SHARE, Math.min(1, idleMs / nowMs));
    metrics.setGauge(LoopMetrics.LONGEST_TURN, longestTurn.lastedMs);
    metrics.setGauge(LoopMetrics.LONGEST_TURN_PROCESSOR, longestTurn.processorMs);
    metrics.setGauge(LoopMetrics.COLLECTION_TIME, collectionMs);
    metrics.setGauge(LoopMetrics.HEAP_SHARE, options.computeHeapShare());
    reported = reading;
    longestTurn = NO_TURN;
  }

  return {
    recordTick(tickMs) {
      const reading = readLoop();
      const span = computeSpan(last, reading);
      last = reading;
      takeCollections();
      recordTurn(span, tickMs);
      recordBusy(reading, span);
      if (reading.nowMs - reported.nowMs >= REPORT_INTERVAL_MS) reportWindow(reading);
    },
  };
}

const MICROSECONDS_PER_MS = 1_000;

/** Reads the event loop of this process. */
export function readEventLoop(): LoopReading {
  const { user, system } = process.cpuUsage();
  return {
    nowMs: performance.now(),
    idleMs: performance.eventLoopUtilization().idle,
    processorMs: (user + system) / MICROSECONDS_PER_MS,
  };
}

/** Time and processor time since the process was started, for the line that ends its start. */
export function computeStartCost(): Readonly<{ startedAfterMs: number; processorMs: number }> {
  const { nowMs, processorMs } = readEventLoop();
  return { startedAfterMs: Math.round(nowMs), processorMs: Math.round(processorMs) };
}
