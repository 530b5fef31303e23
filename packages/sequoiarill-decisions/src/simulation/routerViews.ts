/** What one router knows of the engines: its own work there, and reports as old as they are. */
import type { OutlierDetector } from '../outlierTypes';
import type { TargetView } from '../targets';
import type { EngineModel } from './engineModel';
import type { Reports } from './loadReports';
import type { Timeline } from './timeline';

export interface RouterViewsOptions {
  readonly engines: readonly EngineModel[];
  readonly reports: Reports;
  readonly timeline: Timeline;
  readonly policy: { readonly detector?: OutlierDetector };
}

export interface RouterViews {
  readonly listViews: () => readonly TargetView[];
  readonly addFlight: (flight: object, engine: string) => void;
  readonly removeFlight: (flight: object) => void;
  readonly getInFlight: (engine: string) => number;
}

export function createRouterViews(options: RouterViewsOptions): RouterViews {
  const { timeline } = options;
  const engineByFlight = new Map<object, string>();
  const inFlight = new Map<string, number>();
  const sentAtMs = new Map<string, readonly number[]>();
  const endedAtMs = new Map<string, readonly number[]>();

  function addFlight(flight: object, engine: string): void {
    removeFlight(flight);
    engineByFlight.set(flight, engine);
    inFlight.set(engine, getInFlight(engine) + 1);
    sentAtMs.set(engine, [...(sentAtMs.get(engine) ?? []), timeline.getNowMs()]);
  }

  function removeFlight(flight: object): void {
    const engine = engineByFlight.get(flight);
    if (engine === undefined) return;
    engineByFlight.delete(flight);
    inFlight.set(engine, getInFlight(engine) - 1);
    endedAtMs.set(engine, [...(endedAtMs.get(engine) ?? []), timeline.getNowMs()]);
  }

  function getInFlight(engine: string): number {
    return inFlight.get(engine) ?? 0;
  }

  function buildView(engine: EngineModel): TargetView {
    const nowMs = timeline.getNowMs();
    const { name, zone, slots } = engine.settings;
    const report = options.reports.getReport(name);
    const sent = selectAfter(sentAtMs, name, report?.atMs ?? -1);
    const ended = selectAfter(endedAtMs, name, report?.atMs ?? -1);
    const reported =
      report === undefined
        ? {}
        : {
            reportedRunning: report.running,
            reportedWaiting: report.waiting,
            reportAgeMs: nowMs - report.atMs,
          };
    return {
      name,
      zone,
      slots,
      inFlight: getInFlight(name),
      sentSinceReport: sent.length,
      endedSinceReport: ended.length,
      state: options.policy.detector?.getState(name, nowMs) ?? 'healthy',
      warmShare: options.policy.detector?.getWarmShare(name, nowMs) ?? 1,
      ...reported,
    };
  }

  return {
    listViews: () => options.engines.map(buildView),
    addFlight,
    removeFlight,
    getInFlight,
  };
}

/** Forgets what came before the report. */
function selectAfter(
  timesByEngine: Map<string, readonly number[]>,
  engine: string,
  afterMs: number,
): readonly number[] {
  const left = (timesByEngine.get(engine) ?? []).filter((atMs) => atMs > afterMs);
  timesByEngine.set(engine, left);
  return left;
}
