/** Stand-in for a model engine, for tests and the demo: published API, deterministic tokens. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Control from '../shared/control';
import * as Waiting from '../shared/waiting';
import * as Http from '../shared/http';
import * as Servers from '../shared/server';
import * as Cores from './core';
import type { EngineCounters } from './counters';
import * as Errors from './errors';
import * as Faults from './faults';
import type { EngineFault } from './faults';
import type { Generation } from './generation';
import * as Routes from './routes';
import * as Settings from './settings';

export interface EngineStandin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
  /** Resolves when the fault is in effect. */
  readonly setFault: (fault: EngineFault) => Promise<void>;
  readonly getCounters: () => EngineCounters;
  /** Returns the current load, without the lag of `GET /load`. */
  readonly getLoad: () => Cores.EngineLoad;
}

/** A fault that takes effect once a generation has produced `count` tokens. */
interface TokenFault {
  readonly kind: 'die' | 'stall';
  readonly count: number;
  readonly reviveAfterMs?: number;
}

export function createEngineStandin(input: Settings.EngineSettingsInput = {}): EngineStandin {
  const settings = Settings.engineSettingsSchema.parse(input);
  const gate = Waiting.createGate();
  const reviveTask = Waiting.createDeferredTask();
  const core = Cores.createEngineCore(settings, handleTokens);
  const control: Control.ControlOptions<EngineFault> = {
    schema: Faults.engineFaultSchema,
    setFault,
    getCounters: core.counters.getCounters,
  };
  const server = Servers.createStandinServer(settings.listen, handleRequest);
  let reportedLoad = core.getLoad();
  let loadTimer: NodeJS.Timeout | undefined;
  let failsFast = false;
  let tokenFault: TokenFault | undefined;

  function handleTokens(generation: Generation): void {
    if (tokenFault === undefined || generation.getOutputIds().length < tokenFault.count) return;
    core.scheduler.setPaused(true);
    const { kind, reviveAfterMs } = tokenFault;
    tokenFault = undefined;
    // Waits so that bytes written in this step are still sent: sockets are flushed at the end of
    // the tick.
    if (kind === 'die') setImmediate(() => simulateCrash(reviveAfterMs));
  }

  function simulateCrash(reviveAfterMs: number | undefined): void {
    server.refuseConnections();
    core.clear();
    if (reviveAfterMs !== undefined) reviveTask.delay(reviveAfterMs, simulateRestart);
  }

  function removeFaults(): void {
    failsFast = false;
    tokenFault = undefined;
    core.setDraining(false);
    core.scheduler.setSlowdown(1);
    core.scheduler.setPaused(false);
    gate.open();
  }

  async function simulateRestart(): Promise<void> {
    server.refuseConnections();
    core.clear();
    removeFaults();
    await server.start();
  }

  function applyFault(fault: EngineFault): void {
    if (fault.kind === 'pause') {
      gate.close();
      core.scheduler.setPaused(true);
    } else if (fault.kind === 'unpause') {
      core.scheduler.setPaused(false);
      gate.open();
    } else if (fault.kind === 'slow') core.scheduler.setSlowdown(fault.factor);
    else if (fault.kind === 'dieAfterTokens') tokenFault = { ...fault, kind: 'die' };
    else if (fault.kind === 'stallAfterTokens') tokenFault = { ...fault, kind: 'stall' };
    else if (fault.kind === 'failFast') failsFast = true;
    else if (fault.kind === 'drain') core.setDraining(true);
    else if (fault.kind === 'heal') removeFaults();
  }

  async function setFault(fault: EngineFault): Promise<void> {
    if (fault.kind === 'die') simulateCrash(fault.reviveAfterMs);
    else if (fault.kind === 'revive') await simulateRestart();
    else applyFault(fault);
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = await Http.readExchange(request, response);
    if (Control.isControlRequest(exchange)) {
      await Control.handleControl(control, exchange);
      return;
    }
    const { incarnation } = core.getLoad();
    await gate.waitOpen();
    if (core.getLoad().incarnation !== incarnation) return;
    if (failsFast) Errors.sendError(response, Errors.buildOverloaded('a fault is injected'));
    else await Routes.handleEngineRequest({ core, getReportedLoad }, exchange);
  }

  function getReportedLoad(): Cores.EngineLoad {
    return settings.loadLagMs === 0 ? core.getLoad() : reportedLoad;
  }

  async function start(): Promise<{ readonly address: string }> {
    loadTimer ??= setInterval(
      () => {
        reportedLoad = core.getLoad();
      },
      Math.max(1, settings.loadLagMs),
    ).unref();
    return server.start();
  }

  async function stop(): Promise<void> {
    reviveTask.cancel();
    clearInterval(loadTimer);
    loadTimer = undefined;
    const stopped = server.stop();
    core.clear();
    gate.open();
    await stopped;
  }

  return {
    start,
    stop,
    setFault,
    getCounters: core.counters.getCounters,
    getLoad: core.getLoad,
  };
}
