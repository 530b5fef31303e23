/** Capacity of the engines: their throughput on the workload's requests while no slot is ever idle. */
import * as EngineModel from './engineModel';
import * as RequestGenerator from './requestGenerator';
import * as Timelines from './timeline';
import * as Workloads from './workloads';
import type { Workload } from './workloads';

const PREFILL_TOKENS_PER_MS = 10;
const TOKEN_GAP_MS = 20;
const FULL_LOAD_GAP_INCREASE = 0.5;
const CACHED_PREFIXES = 12;
/** Streams queued at the engine, so that a slot is taken again as soon as it is free. */
const WAITING_STREAMS = 8;
const MEASUREMENT_START_MS = 200_000;
const MEASUREMENT_DURATION_MS = 800_000;

export function createSimulatedEngine(
  index: number,
  timeline: Timelines.Timeline,
): EngineModel.EngineModel {
  return EngineModel.createEngineModel(
    {
      name: `engine-${index}`,
      zone: `zone-${index % Workloads.ZONE_COUNT}`,
      slots: Workloads.SLOTS_PER_ENGINE,
      prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      gapMs: TOKEN_GAP_MS,
      fullLoadGapIncrease: FULL_LOAD_GAP_INCREASE,
      cachedPrefixes: CACHED_PREFIXES,
    },
    timeline,
  );
}

/** Tokens per second of all engines, measured on one engine. */
export function measureCapacity(workload: Workload): number {
  const timeline = Timelines.createTimeline();
  const engine = createSimulatedEngine(0, timeline);
  const endMs = MEASUREMENT_START_MS + MEASUREMENT_DURATION_MS;
  const requests = RequestGenerator.createRequests({ ...workload, endMs, getLoad: () => 1 }, 100);
  let generatedTokens = 0;

  function startNext(): void {
    const nextRequest = requests.next();
    if (nextRequest.done) return;
    const request = nextRequest.value;
    engine.startStream({
      ...request,
      isContinuation: false,
      onFirstToken: () => undefined,
      onLost: () => undefined,
      onEnd: () => {
        if (timeline.getNowMs() >= MEASUREMENT_START_MS) generatedTokens += request.outputTokens;
        startNext();
      },
    });
  }

  for (let count = 0; count < Workloads.SLOTS_PER_ENGINE + WAITING_STREAMS; count += 1) startNext();
  timeline.runUntil(endMs);
  return (generatedTokens * Workloads.ENGINE_COUNT * 1000) / MEASUREMENT_DURATION_MS;
}
