/** Runs the gossip rounds periodically, with one task for each exchange and each probe. */
import type { PluginContext } from '@sequoiarill/types';

import * as Events from './events';
import type { ExchangeState } from './exchangeState';
import * as Tasks from './exchangeTasks';
import type { PeerCallResult, PeerCall, PeerTask } from './messages';
import * as Metrics from './metrics';
import * as Partners from './partners';
import type { Probe, Rounds } from './rounds';

/**
 * Varies the round interval by up to ±10 %, so that routers started together do not stay in step.
 */
const JITTER_RANGE = 0.2;

export interface PeerTasksOptions {
  readonly context: PluginContext;
  readonly state: ExchangeState;
  readonly rounds: Rounds;
  readonly callPeer: (call: PeerCall) => Promise<PeerCallResult>;
}

export interface ExchangeCounts {
  readonly done: number;
  readonly failed: number;
}

export interface PeerTasks {
  /** Resolves once the signal is aborted. */
  readonly runRounds: (signal: AbortSignal) => Promise<void>;
  /** Does nothing if an exchange with this address is in progress. */
  readonly startExchange: (address: string) => void;
  readonly getCounts: () => ExchangeCounts;
  /** Resolves when all active tasks have ended. */
  readonly waitIdle: () => Promise<void>;
}

/** Runs a task: makes each call that it yields and resumes it with the result. */
export async function runTask<Outcome>(
  task: PeerTask<Outcome>,
  callPeer: (call: PeerCall) => Promise<PeerCallResult>,
): Promise<Outcome> {
  let step = task.next();
  while (step.done !== true) step = task.next(await callPeer(step.value));
  return step.value;
}

export function createPeerTasks(options: PeerTasksOptions): PeerTasks {
  const { context, state, rounds, callPeer } = options;
  const activeTasks = new Map<string, Promise<void>>();
  let counts: ExchangeCounts = { done: 0, failed: 0 };
  let unreachableZones: readonly string[] = [];

  /**
   * Runs at most one task for each peer and purpose, so that slow peers do not accumulate tasks.
   */
  function startTask(id: string, run: () => Promise<void>): void {
    if (activeTasks.has(id)) return;
    const task = run().catch(failProcess);
    activeTasks.set(
      id,
      task.finally(() => activeTasks.delete(id)),
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
    logZoneChanges();
  }

  function logZoneChanges(): void {
    const previous = unreachableZones;
    unreachableZones = rounds.listUnreachableZones();
    unreachableZones
      .filter((zone) => !previous.includes(zone))
      .forEach((zone) => context.logEvent(Events.ZONE_AWAY, { zone }));
    previous
      .filter((zone) => !unreachableZones.includes(zone))
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
        const jitter = 1 + JITTER_RANGE * (context.nextRandom() - 1 / 2);
        await context.clock.waitMs(Partners.ROUND_MS * jitter, signal);
      }
    },
    startExchange,
    getCounts: () => counts,
    async waitIdle() {
      await Promise.all(activeTasks.values());
    },
  };
}

/**
 * Failed calls are returned as results; an exception is a violated invariant and stops the process.
 */
function failProcess(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}
