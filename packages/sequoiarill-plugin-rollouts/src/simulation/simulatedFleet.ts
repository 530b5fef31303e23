/** Routers of a simulated roll-out: each runs the plug-in's own components in the simulated environment. */
import type { DecideRolloutStep } from '@sequoiarill/decisions';
import type { Capabilities, CapabilityName, ForwardingTarget, Rollouts } from '@sequoiarill/types';

import * as RolloutsPlugin from '../plugin';
import type { RouterNode, Environment } from './simulatedEnvironment';
import * as Environments from './simulatedEnvironment';

export interface SimulatedRouter {
  readonly node: RouterNode;
  readonly rollouts: Rollouts;
  readonly addInFlight: (target: ForwardingTarget, change: number) => void;
}

export interface SimulatedFleet {
  readonly routers: readonly SimulatedRouter[];
  /** Name of the router that tried to write last. */
  readonly getLastWriter: () => string | undefined;
}

const LIMITS = { canaryShare: 0.1, canarySlack: 50 };

export function createSimulatedFleet(
  { clock, nodes }: Environment,
  decideStep: DecideRolloutStep,
  stopSignal: AbortSignal,
): SimulatedFleet {
  let lastWriter: string | undefined;

  function createRouter(node: RouterNode): SimulatedRouter {
    const inFlight = new Map<string, number>();
    const keyValue = {
      writeTransaction(transaction: Parameters<typeof node.store.writeTransaction>[0]) {
        lastWriter = node.name;
        return node.store.writeTransaction(transaction);
      },
    } as Capabilities['keyValue'];
    const capabilities: Partial<Capabilities> = {
      wire: Environments.WIRE,
      directory: node.directory,
      peers: node.peers,
      keyValue,
    };
    const { rollouts, runner, applyDirectory } = RolloutsPlugin.createRollouts(
      {
        clock,
        logEvent: () => undefined,
        getCapability: <Name extends CapabilityName>(name: Name) =>
          capabilities[name] as Capabilities[Name],
      },
      LIMITS,
      decideStep,
    );
    rollouts.setInFlightCounter(({ id }) => inFlight.get(id) ?? 0);
    node.peers.setReportHandler(runner.handleReport);
    node.directory.subscribe(applyDirectory);
    applyDirectory();
    runner.run(AbortSignal.any([stopSignal, node.stopped])).catch(() => undefined);
    return {
      node,
      rollouts,
      addInFlight({ id }, change) {
        inFlight.set(id, (inFlight.get(id) ?? 0) + change);
      },
    };
  }

  return { routers: nodes.map(createRouter), getLastWriter: () => lastWriter };
}
