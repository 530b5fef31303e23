/** Simulates one workload under one policy and summarises what callers received. */
import * as Capacity from './capacity';
import type * as EngineModel from './engineModel';
import * as LoadReports from './loadReports';
import type { PolicyDefinition } from './policies';
import * as Random from './random';
import * as RequestGenerator from './requestGenerator';
import * as RouterModel from './routerModel';
import * as Metrics from './simulationMetrics';
import * as Timelines from './timeline';
import * as Workloads from './workloads';
import type { FaultEvent, Workload } from './workloads';

/** Delay after which a refused caller that ignores Retry-After retries. */
const CLIENT_RETRY_DELAY_MS = 200;
/** Time after the last arrival in which streams that are still running can finish. */
const DRAIN_MS = 150_000;

function applyFault(fault: FaultEvent, engines: readonly EngineModel.EngineModel[]): void {
  for (const index of fault.engines) {
    const engine = engines[index];
    if (fault.kind === 'slow') engine?.setSlowdown(Workloads.getSlowdownFactor());
    else if (fault.kind === 'failing') engine?.setFailing(true);
    else engine?.setDead(fault.kind === 'dead');
  }
}

function computeFreeShare(engines: readonly EngineModel.EngineModel[]): number {
  const usable = engines.filter((engine) => engine.isUsable());
  const running = usable.reduce((sum, engine) => sum + engine.getReport().running, 0);
  return 1 - running / Math.max(1, usable.length * Workloads.SLOTS_PER_ENGINE);
}

export function simulateWorkload(
  workload: Workload,
  definition: PolicyDefinition,
): Metrics.SimulationSummary {
  const timeline = Timelines.createTimeline();
  const engines = Array.from({ length: Workloads.ENGINE_COUNT }, (_value, index) =>
    Capacity.createSimulatedEngine(index, timeline),
  );
  const metrics = Metrics.createSimulationMetrics(workload);
  const reports = LoadReports.createLoadReports(workload, engines, timeline);
  const retryCounts = new Map<string, number>();

  /** Retries as the same caller, with a new request. */
  function handleRefused(request: RequestGenerator.SimulatedRequest): void {
    const key = `${request.organisation} ${request.outputTokens} ${request.promptTokens}`;
    const count = retryCounts.get(key) ?? 0;
    if (count >= workload.callerRetries) return;
    retryCounts.set(key, count + 1);
    const arrivedMs = timeline.getNowMs() + CLIENT_RETRY_DELAY_MS;
    timeline.addEvent(arrivedMs, () => sendRequest({ ...request, arrivedMs }));
  }

  const routers = Array.from({ length: Workloads.ROUTER_COUNT }, (_value, index) =>
    RouterModel.createRouterModel({
      zone: `zone-${index % Workloads.ZONE_COUNT}`,
      engines,
      reports,
      timeline,
      metrics,
      policy: definition.createPolicy(Random.createRandom(workload.seed + index + 1)),
      getFreeShare: () => computeFreeShare(engines),
      onRefused: handleRefused,
    }),
  );

  function sendRequest(request: RequestGenerator.SimulatedRequest): void {
    metrics.recordArrival(request);
    routers[request.router]?.handleRequest(request);
  }

  const capacity = Capacity.measureCapacity(workload);
  const requestsPerSecond =
    capacity / RequestGenerator.computeMeanOutputTokens(workload.longOutputShare);
  workload.faults.forEach((fault) =>
    timeline.addEvent(fault.atMs, () => applyFault(fault, engines)),
  );
  for (const request of RequestGenerator.createRequests(workload, requestsPerSecond)) {
    timeline.runUntil(request.arrivedMs);
    sendRequest(request);
  }
  timeline.runUntil(workload.endMs + DRAIN_MS);
  return metrics.getSummary(definition.name, capacity);
}
