/** Runs the rounds against the clock: one task for each peer exchange and each probe. */
import type { PluginContext } from '@sequoiarill/types';

import * as Events from './events';
import type { ExchangeState } from './exchangeState';
import * as Tasks from './exchangeTasks';
import type { PeerAnswer, PeerCall, PeerTask } from './messages';
import * as Metrics from './metrics';
import * as Partners from './partners';
import type { Probe, Rounds } from './rounds';

/** Rounds differ by up to a tenth, so that routers that start together do not stay in step. */
const JITTER = 0.2;

export interface PeerTasksOptions {
  readonly context: PluginContext;
  readonly state: ExchangeState;
  readonly rounds: Rounds;
  readonly callPeer: (call: PeerCall) => Promise<PeerAnswer>;
}

export interface ExchangeCounts {
  readonly done: number;
  readonly failed: number;
}

export interface PeerTasks {
  /** Until the signal is aborted. */
  readonly runRounds: (signal: AbortSignal) => Promise<void>;
  /** Unless one with this address is under way. */
  readonly startExchange: (address: string) => void;
  readonly getCounts: () => ExchangeCounts;
  /** Until the tasks under way have ended. */
  readonly waitIdle: () => Promise<void>;
}

/** Lets a task's calls be made and gives it the answers. */
export async function runTask<Outcome>(
  task: PeerTask<Outcome>,
  callPeer: (call: PeerCall) => Promise<PeerAnswer>,
): Promise<Outcome> {
  let step = task.next();
  while (step.done !== true) step = task.next(await callPeer(step.value));
  return step.value;
}

export function createPeerTasks(options: PeerTasksOptions): PeerTasks {
  const { context, state, rounds, callPeer } = options;
  const underWay = new Map<string, Promise<void>>();
  let counts: ExchangeCounts = { done: 0, failed: 0 };
  let zonesAway: readonly string[] = [];

  /** At most one task for each peer and purpose, however slowly it answers. */
  function startTask(id: string, runOnce: () => Promise<void>): void {
    if (underWay.has(id)) return;
    const task = runOnce().catch(failProcess);
    underWay.set(
      id,
      task.finally(() => underWay.delete(id)),
    );
  }

  async function runExchange(address: string): Promise<void> {
    const outcome = await runTask(Tasks.runExchange(state, address), callPeer);
    rounds.recordOutcome(address, outcome);
    const isDone = outcome.kind === 'done';
    counts = {
      done: counts.done + (isDone ? 1 : 0),
      failed: counts.failed + (isDone ? 0 : 1),
    };
    context.metrics.addCount(isDone ? Metrics.EXCHANGES : Metrics.EXCHANGES_FAILED);
    logZones();
  }

  function logZones(): void {
    const before = zonesAway;
    zonesAway = rounds.listZonesAway();
    zonesAway
      .filter((zone) => !before.includes(zone))
      .forEach((zone) => context.logEvent(Events.ZONE_AWAY, { zone }));
    before
      .filter((zone) => !zonesAway.includes(zone))
      .forEach((zone) => context.logEvent(Events.ZONE_BACK, { zone }));
  }

  function startExchange(address: string): void {
    startTask(`exchange ${address}`, () => runExchange(address));
  }

  function startProbe({ suspect, helpers }: Probe): void {
    startTask(`probe ${suspect.name}`, () =>
      runTask(Tasks.runProbe(state, suspect, helpers), callPeer),
    );
  }

  function startRound(): void {
    const round = rounds.startRound();
    if (round.pausedMs > 0) {
      context.logEvent(Events.PAUSED, { pausedMs: Math.round(round.pausedMs) });
      context.metrics.recordTiming(Metrics.PAUSE, round.pausedMs);
    }
    round.dead.forEach(({ name, zone, address }) =>
      context.logEvent(Events.PEER_DEAD, { peer: name, zone, address }),
    );
    round.partners.forEach(startExchange);
    round.probes.forEach(startProbe);
    const alive = rounds.listPeers().filter((peer) => peer.state === 'alive').length;
    context.metrics.setGauge(Metrics.PEERS_ALIVE, alive);
  }

  return {
    async runRounds(signal) {
      while (!signal.aborted) {
        startRound();
        const jitter = 1 + JITTER * (context.nextRandom() - 1 / 2);
        await context.clock.waitMs(Partners.ROUND_MS * jitter, signal);
      }
    },
    startExchange,
    getCounts: () => counts,
    async waitIdle() {
      await Promise.all(underWay.values());
    },
  };
}

/** Failed calls are outcomes; what is thrown here is a broken invariant, which stops the process. */
function failProcess(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}
