/** Injects the faults of a simulated roll-out. */
import * as Decisions from '@sequoiarill/decisions';
import type { NextRandom } from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { SimulatedFault, RolloutCase } from './rolloutCase';
import * as Environments from './simulatedEnvironment';
import type { Environment } from './simulatedEnvironment';
import type { SimulatedFleet } from './simulatedFleet';
import * as SimulatedTraffics from './simulatedTraffic';
import type { SimulatedTraffic } from './simulatedTraffic';

const FAILING_TARGETS_SHARE = 0.25;
const ISOLATED_ZONE = 0;

export interface FaultContext {
  readonly rolloutCase: RolloutCase;
  readonly environment: Environment;
  readonly fleet: SimulatedFleet;
  readonly traffic: SimulatedTraffic;
  readonly nextRandom: NextRandom;
}

/** Finds the new target that is the first to get requests. */
function findCanary(environment: Environment): ForwardingTarget | undefined {
  const newTargets = environment
    .listTargets()
    .filter(({ version }) => version === SimulatedTraffics.NEW);
  return Decisions.selectCanaries(newTargets, { share: 0, avoided: new Set() })[0];
}

function injectLastingFault(
  { environment, traffic, nextRandom }: FaultContext,
  fault: Extract<SimulatedFault, { forMs: number }>,
  nowMs: number,
): void {
  const untilMs = nowMs + fault.forMs;
  if (fault.kind === 'storeUnavailable') environment.setStoreUnavailable(untilMs);
  if (fault.kind === 'responsesLost') environment.setResponsesLost(untilMs);
  if (fault.kind === 'zoneIsolated') environment.setZoneIsolated(ISOLATED_ZONE, untilMs);
  const canary = findCanary(environment);
  if (fault.kind === 'targetFailing' && canary !== undefined) traffic.setFailing(canary, untilMs);
  if (fault.kind === 'targetsFailing') {
    const affectedTargets = environment
      .listTargets()
      .filter(() => nextRandom() < FAILING_TARGETS_SHARE);
    affectedTargets.forEach((target) => traffic.setFailing(target, untilMs));
  }
}

export function injectFault(context: FaultContext, fault: SimulatedFault, nowMs: number): void {
  const { rolloutCase, environment, fleet } = context;
  if ('forMs' in fault) injectLastingFault(context, fault, nowMs);
  else if (fault.kind === 'order') {
    environment.writeKey(Environments.ORDER_KEY, `${fault.toVersion} ${rolloutCase.durationMs}`);
  } else if (fault.kind === 'writerCrash') {
    const writer = fleet.routers.find(({ node }) => node.name === fleet.getLastWriter());
    writer?.node.stop();
  } else {
    const canary = findCanary(environment);
    environment.setTargets(environment.listTargets().filter((target) => target !== canary));
  }
}
