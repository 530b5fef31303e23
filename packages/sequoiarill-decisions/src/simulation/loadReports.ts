/** Load reports of engines, as old as routers see them. */
import type { EngineModel, EngineReport } from './engineModel';
import type { Workload } from './workloads';
import type { Timeline } from './timeline';

export interface Reports {
  readonly getReport: (engine: string) => EngineReport | undefined;
}

export function createReports(
  pattern: Workload,
  engines: readonly EngineModel[],
  timeline: Timeline,
): Reports {
  const known = new Map<string, EngineReport>();

  function addReport(engine: EngineModel): void {
    const report = engine.getReport();
    timeline.addEvent(timeline.getNowMs() + pattern.reportLagMs, () => {
      known.set(engine.settings.name, report);
    });
    timeline.addEvent(timeline.getNowMs() + pattern.reportEveryMs, () => addReport(engine));
  }

  engines.forEach((engine, index) => {
    const offsetMs = (pattern.reportEveryMs * index) / engines.length;
    timeline.addEvent(offsetMs, () => addReport(engine));
  });
  return { getReport: (engine) => known.get(engine) };
}
