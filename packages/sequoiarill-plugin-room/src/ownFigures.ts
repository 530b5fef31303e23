/** What this router itself observes of one service. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  EngineSpeed,
  ForwardingTarget,
  OrganisationWork,
  PrefillSample,
  RoomFacts,
  WorkRecord,
} from '@sequoiarill/types';

import * as RunGaps from './runGaps';

export interface OwnFigures {
  readonly recordDemand: (record: WorkRecord) => void;
  readonly recordServed: (record: WorkRecord) => void;
  readonly recordGap: (target: ForwardingTarget, runId: string, ms: number) => void;
  readonly recordRunEnd: (target: ForwardingTarget, runId: string) => void;
  readonly recordPrefill: (target: ForwardingTarget, prefill: PrefillSample) => void;
  /** Records what other routers have measured. */
  readonly recordSpeeds: (speeds: readonly EngineSpeed[]) => void;
  readonly getSpeedFactor: (target: ForwardingTarget) => number;
  /** Whether the service had streams here in the last seconds. */
  readonly hasTraffic: () => boolean;
  readonly buildFacts: () => Pick<RoomFacts, 'organisations' | 'speeds'>;
}

const TRAFFIC_MS = 10_000;

function formatEngine({ id, startedAtUnixMs }: ForwardingTarget): string {
  return `${id}@${startedAtUnixMs}`;
}

/** Joins demand and served work by organisation; a level without a figure counts as 0. */
function mergeRates(
  demand: readonly Decisions.OrganisationRates[],
  served: readonly Decisions.OrganisationRates[],
): readonly OrganisationWork[] {
  const servedRates = new Map(served.map(({ organisation, rates }) => [organisation, rates]));
  const asked = demand.map(({ organisation, rates }) => ({
    organisation,
    demand: rates,
    served: servedRates.get(organisation) ?? [],
  }));
  const names = new Set(asked.map(({ organisation }) => organisation));
  const others = served.filter(({ organisation }) => !names.has(organisation));
  return [
    ...asked,
    ...others.map(({ organisation, rates }) => ({ organisation, demand: [], served: rates })),
  ];
}

export function createOwnFigures(getNowMs: () => number): OwnFigures {
  const demand = Decisions.createWorkRates();
  const served = Decisions.createWorkRates();
  const speeds = Decisions.createEngineSpeeds({ getNowMs });
  const gaps = RunGaps.createRunGaps();
  let lastTrafficMs = Number.NEGATIVE_INFINITY;

  function recordWork(rates: Decisions.WorkRates, { organisation, level, work }: WorkRecord): void {
    lastTrafficMs = getNowMs();
    rates.recordWork(organisation ?? '', level, work, lastTrafficMs);
  }

  return {
    recordDemand: (record) => recordWork(demand, record),
    recordServed: (record) => recordWork(served, record),
    recordGap(target, runId, ms) {
      lastTrafficMs = getNowMs();
      gaps.recordGap(`${formatEngine(target)} ${runId}`, ms);
    },
    recordRunEnd(target, runId) {
      const engine = formatEngine(target);
      const quartile = gaps.takeQuartile(`${engine} ${runId}`);
      if (quartile !== undefined) speeds.recordGapQuartile(engine, quartile);
    },
    recordPrefill(target, { tokens, ms }) {
      speeds.recordPrefill(formatEngine(target), tokens, ms);
    },
    recordSpeeds(reported) {
      for (const { engine, factor } of reported) speeds.recordReported(engine, factor);
    },
    getSpeedFactor: (target) => speeds.getFactor(formatEngine(target)),
    hasTraffic: () => getNowMs() - lastTrafficMs < TRAFFIC_MS,
    buildFacts() {
      const nowMs = getNowMs();
      return {
        organisations: mergeRates(demand.listRates(nowMs), served.listRates(nowMs)),
        speeds: speeds.listNotable(),
      };
    },
  };
}
