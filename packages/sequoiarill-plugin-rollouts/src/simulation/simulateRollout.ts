/** Simulates one roll-out over several routers in virtual time. */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep } from '@sequoiarill/decisions';
import * as Simulation from '@sequoiarill/decisions/lib/simulation';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as FaultInjection from './faultInjection';
import type { RolloutCase, RolloutResult } from './rolloutCase';
import * as Environments from './simulatedEnvironment';
import * as SimulatedFleets from './simulatedFleet';
import * as SimulatedTraffics from './simulatedTraffic';

/** Time with load after the time limit of the order. */
const LOAD_AFTER_LIMIT_MS = 6_000;
const TICK_MS = 20;
const MS_PER_SECOND = 1_000;

function createTargets(version: string, count: number): readonly ForwardingTarget[] {
  return Array.from({ length: count }, (_one, index) => ({
    id: `${version}-${index}`,
    startedAtUnixMs: version === SimulatedTraffics.OLD ? 1 : 2,
    service: Environments.SERVICE,
    version,
    models: 'm 1',
    address: `10.1.0.1:${index}`,
    zone: 'a',
    slots: 8,
    state: 'ready',
    warmupLeftMs: 0,
  }));
}

interface LastStatus {
  state: string;
  decidedMs: number;
  isFinal: boolean;
  cut: number;
}

function isFinalState(state: string): boolean {
  return state === 'completed' || state === 'rolledBack';
}

/** Deterministic: the same case always gives the same result. */
export async function simulateRollout(
  rolloutCase: RolloutCase,
  decideStep: DecideRolloutStep = Decisions.decideRolloutStep,
): Promise<RolloutResult> {
  const nextRandom = Simulation.createRandom(rolloutCase.seed);
  const environment = Environments.createEnvironment(rolloutCase);
  const stopController = new AbortController();
  const fleet = SimulatedFleets.createSimulatedFleet(
    environment,
    decideStep,
    stopController.signal,
  );
  const traffic = SimulatedTraffics.createSimulatedTraffic(
    rolloutCase,
    environment,
    fleet,
    nextRandom,
  );
  const lastStatus: LastStatus = {
    state: '',
    decidedMs: Number.POSITIVE_INFINITY,
    isFinal: true,
    cut: 0,
  };
  const secondOrder = rolloutCase.faults.findLast(({ kind }) => kind === 'order');
  const hasSecondOrder = secondOrder !== undefined;
  const orderedAtMs = SimulatedTraffics.LOAD_BEFORE_ORDER_MS + (secondOrder?.atMs ?? 0);

  function applyStatus(nowMs: number): void {
    const [state = ''] = (environment.getValue(Environments.STATUS_KEY) ?? '').split(' ');
    if (state === lastStatus.state) return;
    if (isFinalState(lastStatus.state) && !hasSecondOrder) lastStatus.isFinal = false;
    lastStatus.state = state;
    if (isFinalState(state)) lastStatus.decidedMs = nowMs - orderedAtMs;
    if (state === 'completed') lastStatus.cut += traffic.stopOldVersion();
  }

  function startRollout(): void {
    environment.writeKey(
      Environments.ORDER_KEY,
      `${SimulatedTraffics.NEW} ${rolloutCase.durationMs}`,
    );
    const newTargets = createTargets(SimulatedTraffics.NEW, rolloutCase.newTargets);
    environment.setTargets([...environment.listTargets(), ...newTargets]);
  }

  function startRequests(nowMs: number): void {
    const mean = (rolloutCase.requestsPerSecond * TICK_MS) / MS_PER_SECOND;
    const count = Math.floor(mean) + (nextRandom() < mean % 1 ? 1 : 0);
    for (let index = 0; index < count; index += 1) traffic.startRequest(nowMs);
  }

  environment.setTargets(createTargets(SimulatedTraffics.OLD, rolloutCase.oldTargets));
  const context = { rolloutCase, environment, fleet, traffic, nextRandom };
  const endMs =
    SimulatedTraffics.LOAD_BEFORE_ORDER_MS + rolloutCase.durationMs + LOAD_AFTER_LIMIT_MS;
  for (let nowMs = 0; nowMs < endMs; nowMs += TICK_MS) {
    const sinceMs = nowMs - SimulatedTraffics.LOAD_BEFORE_ORDER_MS;
    if (sinceMs === 0) startRollout();
    rolloutCase.faults
      .filter(({ atMs }) => atMs <= sinceMs && atMs > sinceMs - TICK_MS)
      .forEach((fault) => FaultInjection.injectFault(context, fault, nowMs));
    traffic.closeEndedRequests(nowMs);
    applyStatus(nowMs);
    startRequests(nowMs);
    await environment.clock.runFor(TICK_MS);
  }
  stopController.abort();
  await environment.clock.runFor(TICK_MS);
  const isBad = rolloutCase.bad !== undefined;
  const { state, decidedMs, isFinal, cut } = lastStatus;
  return {
    name: rolloutCase.name,
    bad: isBad,
    state,
    ...traffic.getCounts(),
    cut,
    withinDuration: decidedMs <= rolloutCase.durationMs,
    falseAlarms: !isBad && state === 'rolledBack' ? 1 : 0,
    decidedMs: Math.round(decidedMs),
    isFinal,
  };
}
