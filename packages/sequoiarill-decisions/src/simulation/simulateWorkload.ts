/** Plays one pattern of load through one policy and sums up what callers got. */
import * as Capacity from './capacity';
import type * as EngineModel from './engineModel';
import * as Ledger from './simulationMetrics';
import * as Workloads from './workloads';
import type { FaultEvent, Workload } from './workloads';
import type { PolicyDefinition } from './policies';
import * as Random from './random';
import * as Reports from './loadReports';
import * as RouterModel from './routerModel';
import * as Timelines from './timeline';
import * as RequestGenerator from './requestGenerator';

/** A refused caller who does not wait as it was told comes back after this time, milliseconds. */
const IMPATIENT_MS = 200;
/** Streams that began near the end are played out. */
const PLAY_OUT_MS = 150_000;

function applyFault(fault: FaultEvent, engines: readonly EngineModel.EngineModel[]): void {
  for (const index of fault.engines) {
    const engine = engines[index];
    if (fault.kind === 'slow') engine?.setSlowness(Workloads.getSlowness());
    else if (fault.kind === 'failing') engine?.setFailing(true);
    else engine?.setDead(fault.kind === 'dead');
  }
}

function computeFreeShare(engines: readonly EngineModel.EngineModel[]): number {
  const usable = engines.filter((engine) => engine.isUsable());
  const running = usable.reduce((sum, engine) => sum + engine.getReport().running, 0);
  return 1 - running / Math.max(1, usable.length * Workloads.SLOTS);
}

export function simulateWorkload(
  pattern: Workload,
  definition: PolicyDefinition,
): Ledger.SimulationSummary {
  const timeline = Timelines.createTimeline();
  const engines = Array.from({ length: Workloads.ENGINES }, (_value, index) =>
    Capacity.createPlayEngine(index, timeline),
  );
  const ledger = Ledger.createLedger(pattern);
  const reports = Reports.createReports(pattern, engines, timeline);
  const retries = new Map<string, number>();

  /** The same caller again, as a new request of its own. */
  function handleRefused(request: RequestGenerator.PlayRequest): void {
    const key = `${request.organisation} ${request.outputTokens} ${request.promptTokens}`;
    const count = retries.get(key) ?? 0;
    if (count >= pattern.callerRetries) return;
    retries.set(key, count + 1);
    const arrivedMs = timeline.getNowMs() + IMPATIENT_MS;
    timeline.addEvent(arrivedMs, () => sendRequest({ ...request, arrivedMs }));
  }

  const routers = Array.from({ length: Workloads.ROUTERS }, (_value, index) =>
    RouterModel.createRouterModel({
      zone: `zone-${index % Workloads.ZONES}`,
      engines,
      reports,
      timeline,
      ledger,
      policy: definition.createPolicy(Random.createRandom(pattern.seed + index + 1)),
      getFreeShare: () => computeFreeShare(engines),
      onRefused: handleRefused,
    }),
  );

  function sendRequest(request: RequestGenerator.PlayRequest): void {
    ledger.recordAsked(request);
    routers[request.router]?.handleRequest(request);
  }

  const capacity = Capacity.measureCapacity(pattern);
  const requestsPerSecond = capacity / RequestGenerator.computeMeanOutput(pattern.longShare);
  pattern.faults.forEach((fault) =>
    timeline.addEvent(fault.atMs, () => applyFault(fault, engines)),
  );
  for (const request of RequestGenerator.createRequests(pattern, requestsPerSecond)) {
    timeline.playUntil(request.arrivedMs);
    sendRequest(request);
  }
  timeline.playUntil(pattern.endMs + PLAY_OUT_MS);
  return ledger.getSummary(definition.name, capacity);
}
