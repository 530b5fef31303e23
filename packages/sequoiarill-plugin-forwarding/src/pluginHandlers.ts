/** What other plug-ins, other routers, the directory and operators ask of the parts of this plug-in. */
import type { Directory, ForwardingTarget, PluginContext } from '@sequoiarill/types';

import type { StreamOrigins } from './origins/streamOrigins';
import type { TargetParts } from './pluginParts';
import type { ServiceDecisions } from './serviceDecisions';
import * as ContactQueries from './targets/contactQueries';
import type { WaitingStreams } from './streams/waitingStreams';

/** Sets what other plug-ins and other routers ask of this one, apart from its retries. */
export function registerHandlers(
  { clock, nextRandom, getCapability }: PluginContext,
  parts: TargetParts &
    Readonly<{ origins: StreamOrigins; waits: Pick<WaitingStreams, 'dumpState'> }>,
): void {
  const peers = getCapability('peers');
  const { crashes, limits, brittle, registry, origins, waits } = parts;
  peers.setCrashHandlers(crashes.contents.handlers);
  peers.setPartHandlers(crashes.parts.handlers);
  peers.setOriginHandlers(origins.handlers);
  peers.setPermitsLender(limits.grantPermits);
  const directory = getCapability('directory');
  const { contacts, paths } = parts;
  peers.setContactHandler(
    ContactQueries.createContactQueryHandler({ clock, nextRandom, directory, paths, contacts }),
  );
  peers.setBrittleHandler(brittle.handleReport);
  getCapability('rollouts').setInFlightCounter(registry.getInFlight);
  getCapability('room').setLineSource(waits.dumpState);
}

/** Forgets targets and routers that the directory no longer lists. */
export function removeMissing(parts: TargetParts, directory: Pick<Directory, 'findCurrent'>): void {
  const { connections, paths, registry, probes, limits, notices, relays, brittle } = parts;
  const isCurrent = (target: Pick<ForwardingTarget, 'id' | 'startedAtUnixMs'>) =>
    directory.findCurrent(target) !== undefined;
  connections.removeMissing(isCurrent);
  paths.removeMissing(isCurrent);
  registry.removeMissing(isCurrent);
  probes.removeMissing(isCurrent);
  limits.removeOld();
  notices.removeOld();
  relays.removeMissing();
  brittle.removeMissing(isCurrent);
}

export function dumpParts({
  origins,
  decisions,
  ...parts
}: TargetParts & {
  readonly origins: StreamOrigins;
  readonly decisions: Pick<ServiceDecisions, 'dumpRepeats'>;
}): Readonly<Record<string, unknown>> {
  const { crashes, limits, notices, paths, brittle, heldBudget } = parts;
  return {
    crashes: crashes.contents.dumpState(),
    crashingParts: crashes.parts.dumpState(),
    limitedTargets: limits.dumpState(),
    restingTargets: notices.dumpState(),
    lostPaths: paths.dumpState(),
    brittleTargets: brittle.dumpState(),
    heldBytes: heldBudget.dumpState(),
    origins: origins.dumpState(),
    repeats: decisions.dumpRepeats(),
  };
}
