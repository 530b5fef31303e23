/** Load reports of engines, visible to routers after a delay. */
import type { EngineModel, EngineReport } from './engineModel';
import type { Timeline } from './timeline';
import type { Workload } from './workloads';

export interface LoadReports {
  readonly getReport: (engine: string) => EngineReport | undefined;
}

export function createLoadReports(
  workload: Workload,
  engines: readonly EngineModel[],
  timeline: Timeline,
): LoadReports {
  const visibleReports = new Map<string, EngineReport>();

  function addReport(engine: EngineModel): void {
    const report = engine.getReport();
    timeline.addEvent(timeline.getNowMs() + workload.reportLagMs, () => {
      visibleReports.set(engine.settings.name, report);
    });
    timeline.addEvent(timeline.getNowMs() + workload.reportIntervalMs, () => addReport(engine));
  }

  engines.forEach((engine, index) => {
    const offsetMs = (workload.reportIntervalMs * index) / engines.length;
    timeline.addEvent(offsetMs, () => addReport(engine));
  });
  return { getReport: (engine) => visibleReports.get(engine) };
}
