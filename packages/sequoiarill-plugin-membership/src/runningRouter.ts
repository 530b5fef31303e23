/** Creates and connects the components of a router once its address is known. */
import type { PluginContext, StateDump } from '@sequoiarill/types';

import * as Dumps from './dump';
import * as Events from './events';
import * as States from './exchangeState';
import type { ExchangeState } from './exchangeState';
import * as Detectors from './failureDetector';
import type { PingOutput } from './messages';
import * as PeerClients from './peerClient';
import type { PeerRecord } from './peerRecord';
import * as PeerRouters from './peerRouter';
import type { PeerServer } from './peerServer';
import type { MergeOutcome } from './peerRegistry';
import * as PeerRegistries from './peerRegistry';
import * as PeerTasks from './peerTasks';
import * as RoundPlans from './rounds';
import type { Rounds } from './rounds';
import * as HealthRegistries from './targetHealthRegistry';

export interface RunningRouterOptions {
  readonly context: PluginContext;
  readonly key: Buffer;
  readonly server: PeerServer;
  readonly address: string;
  readonly seeds: readonly string[];
  readonly onTargetsChanged: (targets: readonly string[]) => void;
}

export interface RunningRouter {
  readonly state: ExchangeState;
  readonly rounds: Rounds;
  readonly stop: () => Promise<void>;
  readonly dumpState: () => StateDump;
}

export async function startRouter(options: RunningRouterOptions): Promise<RunningRouter> {
  const { context, key, server, address, seeds } = options;
  const { default: createXxHash } = await import('xxhash-wasm');
  const { h64ToString } = await createXxHash();
  const { name } = context.process;
  const peers = PeerRegistries.createPeerRegistry({
    process: context.process,
    address,
    // The wall clock usually makes the incarnation higher after a restart; otherwise peers correct
    // it.
    incarnation: Date.parse(context.clock.getWallTime()),
    hashText: (text) => h64ToString(text),
  });
  const state = States.createExchangeState({
    peers,
    targets: HealthRegistries.createTargetHealthRegistry(name, (text) => h64ToString(text)),
    detector: Detectors.createFailureDetector(),
    configuration: context.getCapability('configurationExchange'),
    getNowMs: context.clock.getNowMs,
    onTargetsChanged: options.onTargetsChanged,
    onPeerRecord: (record, outcome) => logRecord(context, record, outcome),
    onNewerConfiguration: (peer) => tasks.startExchange(peer),
  });
  const rounds = RoundPlans.createRounds({ state, seeds, nextRandom: context.nextRandom });
  const client = PeerClients.createPeerClient({
    key,
    getSelf: peers.getSelf,
    onStaleIncarnation(highestIncarnation) {
      if (highestIncarnation < peers.getSelf().incarnation) return;
      peers.setIncarnationAbove(highestIncarnation);
      state.updateRoster();
    },
  });
  const tasks = PeerTasks.createPeerTasks({ context, state, rounds, callPeer: client.callPeer });

  async function isReachable(peer: string): Promise<boolean> {
    const record = peers.findRecord(peer);
    if (record === undefined) return false;
    const result = await client.callPeer({
      procedure: 'ping',
      address: record.address,
      input: { from: name },
    });
    return result.kind === 'answered' && (result.output as PingOutput).name === peer;
  }

  server.setRouter(PeerRouters.createPeerRouter({ state, isReachable }), address);
  const stopped = new AbortController();
  const running = tasks.runRounds(stopped.signal);
  return {
    state,
    rounds,
    async stop() {
      stopped.abort();
      await running;
      await client.close();
      await tasks.waitIdle();
    },
    dumpState: () =>
      Dumps.dumpRouter({
        state,
        rounds,
        exchanges: tasks.getCounts(),
        served: server.getTraffic(),
        called: client.getTraffic(),
      }),
  };
}

function logRecord(context: PluginContext, record: PeerRecord, outcome: MergeOutcome): void {
  const { name: peer, zone, address, incarnation } = record;
  const fields = { peer, zone, address, incarnation };
  if (outcome === 'conflict') context.logEvent(Events.NAME_CONFLICT, fields);
  else if (outcome === 'refuted') context.logEvent(Events.DEATH_REFUTED, fields);
  else if (record.state === 'dead') context.logEvent(Events.PEER_DEAD, fields);
  else if (record.state === 'leaving') context.logEvent(Events.PEER_LEAVING, fields);
  else context.logEvent(Events.PEER_JOINED, fields);
}
