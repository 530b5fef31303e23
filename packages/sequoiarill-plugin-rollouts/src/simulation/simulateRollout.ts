/** Plays one roll-out over several routers in virtual time. */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep } from '@sequoiarill/decisions';
import * as Play from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { RolloutCase, RolloutResult } from './rolloutCase';
import * as PlayedFaults from './faultInjection';
import * as PlayedFleets from './simulatedFleet';
import * as PlayedTraffics from './simulatedTraffic';
import * as Worlds from './simulatedEnvironment';

/** Load after the time limit, milliseconds. */
const AFTER_MS = 6_000;
const TICK_MS = 20;
const MS_PER_SECOND = 1_000;

function createTargets(version: string, count: number): readonly ForwardingTarget[] {
  return Array.from({ length: count }, (_one, index) => ({
    id: `${version}-${index}`,
    startedAtUnixMs: version === PlayedTraffics.OLD ? 1 : 2,
    service: Worlds.SERVICE,
    version,
    models: 'm 1',
    address: `10.1.0.1:${index}`,
    zone: 'a',
    slots: 8,
    state: 'ready',
    warmupLeftMs: 0,
  }));
}

interface LastWord {
  state: string;
  decidedMs: number;
  isFinal: boolean;
  cut: number;
}

function isEnd(state: string): boolean {
  return state === 'completed' || state === 'rolledBack';
}

/** The same case gives the same result each time. */
export async function simulateRollout(
  played: RolloutCase,
  decideStep: DecideRolloutStep = Decisions.decideRolloutStep,
): Promise<RolloutResult> {
  const nextRandom = Play.createRandom(played.seed);
  const world = Worlds.createWorld(played);
  const stopping = new AbortController();
  const fleet = PlayedFleets.createPlayedFleet(world, decideStep, stopping.signal);
  const traffic = PlayedTraffics.createPlayedTraffic(played, world, fleet, nextRandom);
  const word: LastWord = {
    state: '',
    decidedMs: Number.POSITIVE_INFINITY,
    isFinal: true,
    cut: 0,
  };
  const further = played.faults.findLast(({ kind }) => kind === 'order');
  const hasFurtherOrder = further !== undefined;
  const orderedAtMs = PlayedTraffics.BEFORE_MS + (further?.atMs ?? 0);

  function applyStatus(nowMs: number): void {
    const [state = ''] = (world.getValue(Worlds.STATUS_KEY) ?? '').split(' ');
    if (state === word.state) return;
    if (isEnd(word.state) && !hasFurtherOrder) word.isFinal = false;
    word.state = state;
    if (isEnd(state)) word.decidedMs = nowMs - orderedAtMs;
    if (state === 'completed') word.cut += traffic.stopOld();
  }

  function startOrder(): void {
    world.writeKey(Worlds.ORDER_KEY, `${PlayedTraffics.NEW} ${played.durationMs}`);
    const fresh = createTargets(PlayedTraffics.NEW, played.newTargets);
    world.setTargets([...world.listTargets(), ...fresh]);
  }

  function startRequests(nowMs: number): void {
    const mean = (played.requestsPerS * TICK_MS) / MS_PER_SECOND;
    const count = Math.floor(mean) + (nextRandom() < mean % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) traffic.startRequest(nowMs);
  }

  world.setTargets(createTargets(PlayedTraffics.OLD, played.oldTargets));
  const stage = { played, world, fleet, traffic, nextRandom };
  const endMs = PlayedTraffics.BEFORE_MS + played.durationMs + AFTER_MS;
  for (let nowMs = 0; nowMs < endMs; nowMs += TICK_MS) {
    const sinceMs = nowMs - PlayedTraffics.BEFORE_MS;
    if (sinceMs === 0) startOrder();
    played.faults
      .filter(({ atMs }) => atMs <= sinceMs && atMs > sinceMs - TICK_MS)
      .forEach((fault) => PlayedFaults.applyFault(stage, fault, nowMs));
    traffic.closeRequests(nowMs);
    applyStatus(nowMs);
    startRequests(nowMs);
    await world.clock.runFor(TICK_MS);
  }
  stopping.abort();
  await world.clock.runFor(TICK_MS);
  const isBad = played.bad !== undefined;
  const { state, decidedMs, isFinal, cut } = word;
  return {
    name: played.name,
    bad: isBad,
    state,
    ...traffic.getCounts(),
    cut,
    withinDuration: decidedMs <= played.durationMs,
    falseAlarms: !isBad && state === 'rolledBack' ? 1 : 0,
    decidedMs: Math.round(decidedMs),
    isFinal,
  };
}
