/** Brings about the faults of a played roll-out. */
import * as Decisions from '@sequoiarill/decisions';
import type { NextRandom } from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { PlayedFault, RolloutCase } from './rolloutCase';
import type { PlayedFleet } from './simulatedFleet';
import * as PlayedTraffics from './simulatedTraffic';
import type { PlayedTraffic } from './simulatedTraffic';
import * as Worlds from './simulatedEnvironment';
import type { World } from './simulatedEnvironment';

const GREY_SHARE = 0.25;
const CUT_ZONE = 0;

export interface FaultStage {
  readonly played: RolloutCase;
  readonly world: World;
  readonly fleet: PlayedFleet;
  readonly traffic: PlayedTraffic;
  readonly nextRandom: NextRandom;
}

/** The new target that gets requests first. */
function findCanary(world: World): ForwardingTarget | undefined {
  const fresh = world.listTargets().filter(({ version }) => version === PlayedTraffics.NEW);
  return Decisions.selectCanaries(fresh, { share: 0, avoided: new Set() })[0];
}

function applyLasting(
  { world, traffic, nextRandom }: FaultStage,
  fault: Extract<PlayedFault, { forMs: number }>,
  nowMs: number,
): void {
  const untilMs = nowMs + fault.forMs;
  if (fault.kind === 'storeAway') world.setStoreAway(untilMs);
  if (fault.kind === 'answersLost') world.setAnswersLost(untilMs);
  if (fault.kind === 'zoneCut') world.setZoneCut(CUT_ZONE, untilMs);
  const canary = findCanary(world);
  if (fault.kind === 'greyTarget' && canary !== undefined) traffic.setGrey(canary, untilMs);
  if (fault.kind === 'greyTargets') {
    const some = world.listTargets().filter(() => nextRandom() < GREY_SHARE);
    some.forEach((target) => traffic.setGrey(target, untilMs));
  }
}

export function applyFault(stage: FaultStage, fault: PlayedFault, nowMs: number): void {
  const { played, world, fleet } = stage;
  if ('forMs' in fault) applyLasting(stage, fault, nowMs);
  else if (fault.kind === 'order') {
    world.writeKey(Worlds.ORDER_KEY, `${fault.toVersion} ${played.durationMs}`);
  } else if (fault.kind === 'killWriter') {
    const writer = fleet.routers.find(({ node }) => node.name === fleet.getLastWriter());
    writer?.node.kill();
  } else {
    const canary = findCanary(world);
    world.setTargets(world.listTargets().filter((target) => target !== canary));
  }
}
