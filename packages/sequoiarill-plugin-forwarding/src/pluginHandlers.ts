/** What the plug-in offers to other plug-ins, to other routers and to the state dump. */
import type { PluginContext } from '@sequoiarill/types';

import type { StreamOrigins } from './origins/streamOrigins';
import type { createTargetParts } from './pluginParts';
import type { WaitingStreams } from './streams/waitingStreams';

type TargetParts = ReturnType<typeof createTargetParts>;

/** Sets what other plug-ins and other routers ask of this one, apart from its retries. */
export function registerHandlers(
  { getCapability }: PluginContext,
  parts: TargetParts &
    Readonly<{ origins: StreamOrigins; waits: Pick<WaitingStreams, 'dumpState'> }>,
): void {
  const peers = getCapability('peers');
  const { crashes, limits, brittle, registry, origins, waits } = parts;
  peers.setCrashHandlers(crashes.contents.handlers);
  peers.setPartHandlers(crashes.parts.handlers);
  peers.setOriginHandlers(origins.handlers);
  peers.setPermitsLender(limits.grantPermits);
  peers.setBrittleHandler(brittle.handleReport);
  getCapability('rollouts').setInFlightCounter(registry.getInFlight);
  getCapability('room').setLineSource(waits.dumpState);
}

export function dumpTargetParts(parts: TargetParts): Readonly<Record<string, unknown>> {
  const { crashes, limits, notices, paths, brittle } = parts;
  return {
    crashes: crashes.contents.dumpState(),
    crashingParts: crashes.parts.dumpState(),
    limitedTargets: limits.dumpState(),
    restingTargets: notices.dumpState(),
    lostPaths: paths.dumpState(),
    brittleTargets: brittle.dumpState(),
  };
}
