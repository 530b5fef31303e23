import { describe, it } from 'node:test';

import type { Configuration, Peer } from '@sequoiarill/types';
import { expect } from 'earl';

import * as CapacityTasks from '../capacityTask';
import type { CapacityTaskOptions } from '../capacityTask';
import * as FakeEngines from './fakeEngines';

const SLOTS = 90;

function createPeer(index: number, zone: string, state: Peer['state'] = 'alive'): Peer {
  return {
    name: `router-${index}`,
    zone,
    region: 'r1',
    address: `127.0.0.1:${7000 + index}`,
    incarnation: 1,
    state,
    configurationRevision: 1,
  };
}

/** Runs the task for one round and returns the capacities and router lists that it set. */
async function runRound(peers: readonly Peer[]) {
  const controller = new AbortController();
  const capacities: number[] = [];
  const sets: (readonly string[])[] = [];
  const configuration = {
    models: new Map([[FakeEngines.model.name, FakeEngines.model]]),
    targets: new Map(),
  } as unknown as Configuration;
  const options = {
    routerName: 'router-1',
    zone: 'z1',
    clock: {
      getNowMs: () => 0,
      getRunningMs: () => 0,
      getLastDelay: () => undefined,
      getReadDelayMs: () => 0,
      getWallTime: () => '',
      waitMs: async () => controller.abort(),
    },
    configuration: {
      getConfiguration: () => configuration,
      subscribeConfiguration: () => () => {},
    },
    membership: { listPeers: () => peers },
    serving: { setRouters: (names: readonly string[]) => sets.push(names) },
    targets: { getCapacity: () => ({ slots: SLOTS, busyShare: 0.5 }) },
    admission: { setCapacity: (_model: string, slots: number) => capacities.push(slots) },
    poller: { runRound: async () => undefined },
  } as unknown as CapacityTaskOptions;
  await CapacityTasks.runCapacityTask(options, controller.signal);
  return { capacities, sets };
}

describe('capacity task', () => {
  it('divides the slots of all zones by the routers of all zones', async () => {
    // Three zones with two routers each. If the slots are divided by the routers of one zone only, the
    // six routers together admit three times what the engines can run, and all first tokens are late.
    const peers = [1, 2, 3, 4, 5, 6].map((index) => createPeer(index, `z${Math.ceil(index / 2)}`));
    const { capacities, sets } = await runRound(peers);
    expect(capacities).toEqual([SLOTS / 6]);
    expect(sets).toEqual([['router-1', 'router-2']]);
  });

  it('does not count dead or leaving routers', async () => {
    const peers = [
      createPeer(1, 'z1'),
      createPeer(2, 'z1', 'dead'),
      createPeer(3, 'z2', 'leaving'),
    ];
    const { capacities } = await runRound(peers);
    expect(capacities).toEqual([SLOTS]);
  });
});
