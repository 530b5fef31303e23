/** What the engines can generate: every slot taken at every moment, with the same requests. */
import * as EngineModel from './engineModel';
import * as Workloads from './workloads';
import type { Workload } from './workloads';
import * as Timelines from './timeline';
import * as RequestGenerator from './requestGenerator';

const PREFILL_TOKENS_PER_MS = 10;
const GAP_MS = 20;
const BUSY_SHARE = 0.5;
const CACHED_PREFIXES = 12;
/** Streams that wait at the engine, so that a slot is taken again as soon as it is free. */
const WAITING = 8;
const MEASURED_FROM_MS = 200_000;
const MEASURED_MS = 800_000;

export function createPlayEngine(
  index: number,
  timeline: Timelines.Timeline,
): EngineModel.EngineModel {
  return EngineModel.createEngineModel(
    {
      name: `engine-${index}`,
      zone: `zone-${index % Workloads.ZONES}`,
      slots: Workloads.SLOTS,
      prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      gapMs: GAP_MS,
      busyShare: BUSY_SHARE,
      cachedPrefixes: CACHED_PREFIXES,
    },
    timeline,
  );
}

/** Tokens a second of all engines, measured on one of them. */
export function measureCapacity(pattern: Workload): number {
  const timeline = Timelines.createTimeline();
  const engine = createPlayEngine(0, timeline);
  const endMs = MEASURED_FROM_MS + MEASURED_MS;
  const requests = RequestGenerator.createRequests({ ...pattern, endMs, getLoad: () => 1 }, 100);
  let tokens = 0;

  function startNext(): void {
    const next = requests.next();
    if (next.done) return;
    const request = next.value;
    engine.startStream({
      ...request,
      isContinuation: false,
      onFirstToken: () => undefined,
      onLost: () => undefined,
      onEnd: () => {
        if (timeline.getNowMs() >= MEASURED_FROM_MS) tokens += request.outputTokens;
        startNext();
      },
    });
  }

  for (let count = 0; count < Workloads.SLOTS + WAITING; count += 1) startNext();
  timeline.playUntil(endMs);
  return (tokens * Workloads.ENGINES * 1000) / MEASURED_MS;
}
