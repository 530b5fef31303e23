/** One router's view of the engines: its own requests there, and load reports that arrive with a delay. */
import type { OutlierDetector } from '../outlierTypes';
import type { TargetView } from '../targetChoiceTypes';
import type { EngineModel } from './engineModel';
import type { LoadReports } from './loadReports';
import type { Timeline } from './timeline';

export interface RouterViewsOptions {
  readonly engines: readonly EngineModel[];
  readonly reports: LoadReports;
  readonly timeline: Timeline;
  readonly policy: { readonly detector?: OutlierDetector };
}

export interface RouterViews {
  readonly listViews: () => readonly TargetView[];
  readonly addRequest: (request: object, engine: string) => void;
  readonly removeRequest: (request: object) => void;
  readonly countInFlight: (engine: string) => number;
}

export function createRouterViews(options: RouterViewsOptions): RouterViews {
  const { timeline } = options;
  const engineByRequest = new Map<object, string>();
  const inFlightByEngine = new Map<string, number>();
  const sentAtMs = new Map<string, readonly number[]>();
  const endedAtMs = new Map<string, readonly number[]>();

  function addRequest(request: object, engine: string): void {
    removeRequest(request);
    engineByRequest.set(request, engine);
    inFlightByEngine.set(engine, countInFlight(engine) + 1);
    sentAtMs.set(engine, [...(sentAtMs.get(engine) ?? []), timeline.getNowMs()]);
  }

  function removeRequest(request: object): void {
    const engine = engineByRequest.get(request);
    if (engine === undefined) return;
    engineByRequest.delete(request);
    inFlightByEngine.set(engine, countInFlight(engine) - 1);
    endedAtMs.set(engine, [...(endedAtMs.get(engine) ?? []), timeline.getNowMs()]);
  }

  function countInFlight(engine: string): number {
    return inFlightByEngine.get(engine) ?? 0;
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
      inFlight: countInFlight(name),
      sentSinceReport: sent.length,
      endedSinceReport: ended.length,
      state: options.policy.detector?.getState(name, nowMs) ?? 'healthy',
      warmShare: options.policy.detector?.getWarmShare(name, nowMs) ?? 1,
      ...reported,
    };
  }

  return {
    listViews: () => options.engines.map(buildView),
    addRequest,
    removeRequest,
    countInFlight,
  };
}

/** Drops the times up to the report and returns the later ones. */
function selectAfter(
  timesByEngine: Map<string, readonly number[]>,
  engine: string,
  afterMs: number,
): readonly number[] {
  const left = (timesByEngine.get(engine) ?? []).filter((atMs) => atMs > afterMs);
  timesByEngine.set(engine, left);
  return left;
}
