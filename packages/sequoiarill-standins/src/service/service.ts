/** Stand-in for a plain service: runs any call, counts it and echoes it. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Control from '../shared/control';
import * as Waiting from '../shared/waiting';
import * as Http from '../shared/http';
import * as Servers from '../shared/server';
import * as Faults from './faults';
import type { ServiceFault } from './faults';
import * as Runs from './runs';
import * as Settings from './settings';

export interface ServiceStandin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: ServiceFault) => Promise<void>;
  readonly getCounters: () => Runs.ServiceCounters;
  /** Counts the calls that were received while the service is paused and have not run yet. */
  readonly countWaiting: () => number;
}

export function createServiceStandin(input: Settings.ServiceSettingsInput = {}): ServiceStandin {
  const settings = Settings.serviceSettingsSchema.parse(input);
  const runs = Runs.createServiceRuns(settings.checksIdempotencyKey);
  const gate = Waiting.createGate();
  const reviveTask = Waiting.createDeferredTask();
  const control: Control.ControlOptions<ServiceFault> = {
    schema: Faults.serviceFaultSchema,
    setFault,
    getCounters: runs.getCounters,
  };
  const server = Servers.createStandinServer(settings.listen, handleRequest);
  let slowMs = 0;
  let answersToLose = 0;
  let failsFast = false;
  let incarnation = 1;
  let waitingCount = 0;

  async function handleCall(exchange: Http.Exchange): Promise<void> {
    const { response } = exchange;
    const startIncarnation = incarnation;
    waitingCount += 1;
    await gate.waitOpen();
    waitingCount -= 1;
    if (startIncarnation !== incarnation) return;
    if (failsFast) {
      sendError(response, 503, 'a fault makes the service refuse every call');
      return;
    }
    const answer = runs.runCall(buildCall(exchange));
    const delayMs = settings.answerMs + slowMs;
    if (delayMs > 0) await Waiting.waitMs(delayMs);
    if (answersToLose > 0) {
      answersToLose -= 1;
      response.destroy();
    } else Http.sendJson(response, 200, answer);
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = await Http.readExchange(request, response);
    if (Control.isControlRequest(exchange)) await Control.handleControl(control, exchange);
    else await handleCall(exchange);
  }

  function removeFaults(): void {
    slowMs = 0;
    answersToLose = 0;
    failsFast = false;
    gate.open();
  }

  function simulateCrash(reviveAfterMs?: number): void {
    incarnation += 1;
    server.refuseConnections();
    if (reviveAfterMs !== undefined) reviveTask.delay(reviveAfterMs, simulateRestart);
  }

  async function simulateRestart(): Promise<void> {
    simulateCrash();
    removeFaults();
    await server.start();
  }

  async function setFault(fault: ServiceFault): Promise<void> {
    if (fault.kind === 'die') simulateCrash(fault.reviveAfterMs);
    else if (fault.kind === 'revive') await simulateRestart();
    else if (fault.kind === 'pause') gate.close();
    else if (fault.kind === 'unpause') gate.open();
    else if (fault.kind === 'slow') slowMs = fault.ms;
    else if (fault.kind === 'loseAnswers') answersToLose = fault.count;
    else if (fault.kind === 'failFast') failsFast = true;
    else removeFaults();
  }

  async function stop(): Promise<void> {
    reviveTask.cancel();
    incarnation += 1;
    gate.open();
    await server.stop();
  }

  return {
    start: server.start,
    stop,
    setFault,
    getCounters: runs.getCounters,
    countWaiting: () => waitingCount,
  };
}

function buildCall(exchange: Http.Exchange): Runs.ServiceCall {
  const key = exchange.request.headers['idempotency-key'];
  return {
    method: exchange.method,
    path: exchange.url.pathname + exchange.url.search,
    idempotencyKey: key === undefined ? undefined : String(key),
    body: exchange.body.toString('utf8'),
  };
}

function sendError(response: ServerResponse, status: number, message: string): void {
  Http.sendJson(response, status, { error: { message } });
}
