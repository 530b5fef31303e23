/**
 * Updates the admission limits and the target sets as engines and routers join and leave.
 *
 * When a third of the engines is lost, the limit must fall immediately: deriving it from late first
 * tokens takes half a minute, during which every continued stream meets a full engine.
 */
import type { Clock, ConfigurationReader, EngineTarget, Membership } from '@sequoiarill/types';

import type { AdmissionController } from './admissionController';
import type { LoadPoller } from './loadPoller';
import * as LoadPollers from './loadPoller';
import type { ServingTargets } from './servingTargets';
import type { Targets } from './targets';

export interface CapacityTaskOptions {
  readonly routerName: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly configuration: ConfigurationReader;
  readonly membership: Pick<Membership, 'listPeers'>;
  readonly serving: ServingTargets;
  readonly targets: Targets;
  readonly admission: AdmissionController;
  readonly poller: LoadPoller;
}

const CAPACITY_UPDATE_INTERVAL_MS = 250;

export async function runCapacityTask(
  options: CapacityTaskOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    options.serving.setRouters(listRouters(options, true));
    updateCapacity(options);
    await options.clock.waitMs(CAPACITY_UPDATE_INTERVAL_MS, signal);
  }
}

/** A separate task: an engine that hangs delays its polling round but must not delay admission. */
export async function runPollTask(
  options: CapacityTaskOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await options.poller.runRound(listEngines(options), listRouters(options, true));
    await options.clock.waitMs(LoadPollers.POLL_INTERVAL_MS, signal);
  }
}

/** Alive routers including this one, in the local zone or in all zones. */
function listRouters(
  { membership, zone, routerName }: CapacityTaskOptions,
  isZoneOnly: boolean,
): readonly string[] {
  const others = membership
    .listPeers()
    .filter((peer) => peer.state === 'alive' && peer.name !== routerName)
    .filter((peer) => !isZoneOnly || peer.zone === zone);
  return [routerName, ...others.map(({ name }) => name)].sort();
}

function listEngines({ configuration, zone }: CapacityTaskOptions): readonly EngineTarget[] {
  return [...configuration.getConfiguration().targets.values()].filter(
    (target): target is EngineTarget =>
      target.kind === 'engine' && target.zone === zone && target.vmState === 'live',
  );
}

/** Divides the slots by the routers of all zones, as any router may use engines of any zone. */
function updateCapacity(options: CapacityTaskOptions): void {
  const { configuration, targets, admission } = options;
  const routers = listRouters(options, false).length;
  for (const model of configuration.getConfiguration().models.values()) {
    const { slots, busyShare } = targets.getCapacity(model);
    admission.setCapacity(model.name, slots / routers, busyShare);
  }
}
