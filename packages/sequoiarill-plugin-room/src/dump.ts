/** Section `room` of the state dump, and the gauges. */
import type { Metrics, RoomFacts, StateDump } from '@sequoiarill/types';

import * as FactSums from './factSums';
import * as MetricNames from './metrics';
import type { RecentStream } from './recentStreams';
import type { ServiceState } from './serviceState';

type Services = ReadonlyMap<string, ServiceState>;

const MAX_STREAMS = 50;
const FRACTION_SCALE = 100;

function computeRounded(value: number): number {
  return Math.round(value * FRACTION_SCALE) / FRACTION_SCALE;
}

function computeLevelSums(lists: readonly (readonly number[])[]): readonly number[] {
  const length = Math.max(0, ...lists.map((list) => list.length));
  return Array.from({ length }, (_, level) =>
    computeRounded(FactSums.computeTotal(lists.map((list) => list[level] ?? 0))),
  );
}

function dumpService(state: ServiceState, fleet: RoomFacts, nowMs: number): StateDump {
  const { organisations, speeds } = state.buildReport();
  const ageMs = state.digests.getAgeMs(nowMs);
  return {
    isCollector: state.isCollector(),
    routers: fleet.routers,
    digestAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
    demand: computeLevelSums(fleet.organisations.map(({ demand }) => demand)),
    served: computeLevelSums(fleet.organisations.map(({ served }) => served)),
    ownDemand: computeLevelSums(organisations.map(({ demand }) => demand)),
    ownServed: computeLevelSums(organisations.map(({ served }) => served)),
    unusualSpeeds: speeds.length,
    repeats: state.computeRepeats(),
  };
}

/**
 * One row for each (organisation, route) with streams in the last minute, those with most demand first. Demand and
 * served work are of the organisation's level in the fleet, which its routes of the same level share.
 */
function dumpStreams(
  streams: readonly RecentStream[],
  services: Services,
  fleets: ReadonlyMap<string, RoomFacts>,
): readonly StateDump[] {
  return streams
    .flatMap(({ service, organisation, route, level }) => {
      const state = services.get(service);
      if (state === undefined) return [];
      const work = fleets
        .get(service)
        ?.organisations.find((candidate) => candidate.organisation === organisation);
      const share = computeRounded(state.shares.getFraction(organisation, level));
      const demand = computeRounded(work?.demand[level] ?? 0);
      const served = computeRounded(work?.served[level] ?? 0);
      return { service, organisation, route, level, share, demand, served };
    })
    .sort((left, right) => right.demand - left.demand)
    .slice(0, MAX_STREAMS);
}

export function dumpRoom(
  services: Services,
  streams: readonly RecentStream[],
  nowMs: number,
): StateDump {
  const fleets = new Map([...services].map(([service, state]) => [service, state.buildFleet()]));
  return {
    services: Object.fromEntries(
      [...services].map(([service, state]) => {
        const fleet = fleets.get(service) ?? FactSums.createEmptyFacts(service);
        return [service, dumpService(state, fleet, nowMs)];
      }),
    ),
    streams: dumpStreams(streams, services, fleets),
  };
}

export function recordGauges(
  metrics: Pick<Metrics, 'setGauge'>,
  services: Services,
  nowMs: number,
) {
  for (const [service, state] of services) {
    if (!state.own.hasTraffic()) continue;
    const fleet = FactSums.buildMessageFacts(state.buildFleet());
    const { organisations, routers } = fleet;
    metrics.setGauge(MetricNames.ROUTERS, routers, { service });
    const ageMs = state.digests.getAgeMs(nowMs);
    if (ageMs !== undefined) metrics.setGauge(MetricNames.DIGEST_AGE, ageMs, { service });
    computeLevelSums(organisations.map(({ demand }) => demand)).forEach((value, level) =>
      metrics.setGauge(MetricNames.DEMAND, value, { service, level: String(level) }),
    );
    computeLevelSums(organisations.map(({ served }) => served)).forEach((value, level) =>
      metrics.setGauge(MetricNames.SERVED, value, { service, level: String(level) }),
    );
    for (const { organisation, demand } of organisations) {
      demand.forEach((_, level) => {
        const share = state.shares.getFraction(organisation, level);
        metrics.setGauge(MetricNames.SHARE, share, { service, organisation, level: String(level) });
      });
    }
  }
}
