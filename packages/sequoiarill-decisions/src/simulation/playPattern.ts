/** Plays one pattern of load through one policy and sums up what callers got. */
import * as Capacity from './capacity';
import type * as EngineModel from './engineModel';
import * as Ledger from './ledger';
import * as Patterns from './patterns';
import type { FaultEvent, Pattern } from './patterns';
import type { PolicyDefinition } from './policies';
import * as Random from './random';
import * as Reports from './reports';
import * as RouterModel from './routerModel';
import * as Timelines from './timeline';
import * as Workload from './workload';

/** A refused caller who does not wait as it was told comes back after this time, milliseconds. */
const IMPATIENT_MS = 200;
/** Streams that began near the end are played out. */
const PLAY_OUT_MS = 150_000;

function applyFault(fault: FaultEvent, engines: readonly EngineModel.EngineModel[]): void {
  for (const index of fault.engines) {
    const engine = engines[index];
    if (fault.kind === 'slow') engine?.setSlowness(Patterns.getSlowness());
    else if (fault.kind === 'failing') engine?.setFailing(true);
    else engine?.setDead(fault.kind === 'dead');
  }
}

function computeFreeShare(engines: readonly EngineModel.EngineModel[]): number {
  const usable = engines.filter((engine) => engine.isUsable());
  const running = usable.reduce((sum, engine) => sum + engine.getReport().running, 0);
  return 1 - running / Math.max(1, usable.length * Patterns.SLOTS);
}

export function playPattern(pattern: Pattern, definition: PolicyDefinition): Ledger.PlaySummary {
  const timeline = Timelines.createTimeline();
  const engines = Array.from({ length: Patterns.ENGINES }, (_value, index) =>
    Capacity.createPlayEngine(index, timeline),
  );
  const ledger = Ledger.createLedger(pattern);
  const reports = Reports.createReports(pattern, engines, timeline);
  const retries = new Map<string, number>();

  /** The same caller again, as a new request of its own. */
  function handleRefused(request: Workload.PlayRequest): void {
    const key = `${request.organisation} ${request.outputTokens} ${request.promptTokens}`;
    const count = retries.get(key) ?? 0;
    if (count >= pattern.callerRetries) return;
    retries.set(key, count + 1);
    const arrivedMs = timeline.getNowMs() + IMPATIENT_MS;
    timeline.addEvent(arrivedMs, () => sendRequest({ ...request, arrivedMs }));
  }

  const routers = Array.from({ length: Patterns.ROUTERS }, (_value, index) =>
    RouterModel.createRouterModel({
      zone: `zone-${index % Patterns.ZONES}`,
      engines,
      reports,
      timeline,
      ledger,
      policy: definition.createPolicy(Random.createRandom(pattern.seed + index + 1)),
      getFreeShare: () => computeFreeShare(engines),
      onRefused: handleRefused,
    }),
  );

  function sendRequest(request: Workload.PlayRequest): void {
    ledger.recordAsked(request);
    routers[request.router]?.handleRequest(request);
  }

  const capacity = Capacity.measureCapacity(pattern);
  const requestsPerSecond = capacity / Workload.computeMeanOutput(pattern.longShare);
  pattern.faults.forEach((fault) =>
    timeline.addEvent(fault.atMs, () => applyFault(fault, engines)),
  );
  for (const request of Workload.createRequests(pattern, requestsPerSecond)) {
    timeline.playUntil(request.arrivedMs);
    sendRequest(request);
  }
  timeline.playUntil(pattern.endMs + PLAY_OUT_MS);
  return ledger.getSummary(definition.name, capacity);
}
