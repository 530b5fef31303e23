import { describe, it } from 'node:test';

import type { EventDefinition } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Collections from '../collections';
import * as EventLoops from '../eventLoop';
import type { LoopReading } from '../eventLoop';
import * as Metrics from '../metrics';
import * as WorkCounts from '../workCounts';

const TICK_MS = 50;

interface Line {
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A monitor whose readings are the sums of the spans that a test passes to `runSpan`. */
function createMonitored() {
  let reading: LoopReading = { nowMs: 0, idleMs: 0, processorMs: 0 };
  const lines: Line[] = [];
  const gauges = new Map<string, number>();
  const collections = Collections.createCollectionRecord();
  const work = WorkCounts.createWorkCounts(Metrics.createNoopMetrics());
  const monitor = EventLoops.createLoopMonitor({
    readLoop: () => reading,
    logEvent: ({ name }: EventDefinition, fields = {}) => lines.push({ name, fields }),
    metrics: { ...Metrics.createNoopMetrics(), setGauge: (name, value) => gauges.set(name, value) },
    collections,
    computeHeapShare: () => 0.5,
    takeWork: work.takeWork,
  });

  function runSpan(span: LoopReading): void {
    reading = {
      nowMs: reading.nowMs + span.nowMs,
      idleMs: reading.idleMs + span.idleMs,
      processorMs: reading.processorMs + span.processorMs,
    };
    monitor.recordTick(TICK_MS);
  }

  /** Ticks on time, with or without idle time between them. */
  function runTicks(count: number, idleMs: number): void {
    for (let tick = 0; tick < count; tick += 1) {
      runSpan({ nowMs: TICK_MS, idleMs, processorMs: TICK_MS - idleMs });
    }
  }

  return { runSpan, runTicks, lines, gauges, collections, metrics: work.metrics };
}

describe('the monitor of the event loop', () => {
  it('logs nothing where the loop waits between its turns', () => {
    const { runTicks, lines } = createMonitored();
    runTicks(400, 1);
    expect(lines).toEqual([]);
  });

  // Failure: a router runs without a wait for seconds, and its log does not show it.
  it('logs a loop that does not wait, again at doubled times, and its end', () => {
    const { runTicks, lines } = createMonitored();
    runTicks(20, 40);
    runTicks(200, 0);
    runTicks(1, 40);
    const busy = ['process.loopBusy', 'process.loopBusy', 'process.loopIdle'];
    expect(lines.map(({ name }) => name)).toEqual(busy);
    expect(lines.map(({ fields }) => fields.lastedMs)).toEqual([3_000, 6_000, 10_050]);
  });

  // Failure: a long turn and a paused process look the same.
  it('tells a long turn from a pause by its processor time', () => {
    const { runSpan, lines } = createMonitored();
    runSpan({ nowMs: 1_500, idleMs: 0, processorMs: 1_400 });
    runSpan({ nowMs: 1_500, idleMs: 1, processorMs: 3 });
    expect(lines.map(({ name }) => name)).toEqual(['process.turnLong', 'process.turnLong']);
    expect(lines.map(({ fields }) => fields.processorMs)).toEqual([1_400, 3]);
  });

  it('says what was done since the last line', () => {
    const { runSpan, lines, metrics } = createMonitored();
    metrics.addCount('requests', 3);
    metrics.recordTiming('answers', 12);
    runSpan({ nowMs: 1_500, idleMs: 1, processorMs: 1_400 });
    runSpan({ nowMs: 1_500, idleMs: 1, processorMs: 1_400 });
    expect(lines.map(({ fields }) => fields.work)).toEqual([{ requests: 3, answers: 1 }, {}]);
  });

  it('reports idle share, longest turn and collections of each window', () => {
    const { runSpan, runTicks, gauges, collections } = createMonitored();
    collections.recordCollection('major', 30);
    collections.recordCollection('minor', 2);
    runSpan({ nowMs: 250, idleMs: 25, processorMs: 200 });
    runTicks(95, 25);
    expect(gauges.get('process.longestTurn')).toEqual(200);
    expect(gauges.get('process.longestTurnProcessor')).toEqual(200);
    expect(gauges.get('process.loopIdleShare')).toEqual((25 + 95 * 25) / 5_000);
    expect(gauges.get('process.collectionTime')).toEqual(32);
    runTicks(100, 25);
    expect(gauges.get('process.longestTurn')).toEqual(0);
  });
});
