/** Stand-in for the platform's key-value service: the published JSON gateway of etcd v3. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Control from '../shared/control';
import * as Waiting from '../shared/waiting';
import * as Http from '../shared/http';
import * as Servers from '../shared/server';
import * as KeyCalls from './keyCalls';
import * as Counters from './counters';
import * as Errors from './errors';
import type { PlatformError } from './errors';
import * as Faults from './faults';
import type { PlatformFault } from './faults';
import * as LeaseCalls from './leaseCalls';
import * as Leases from './leases';
import * as Requests from './requests';
import type { PlatformPath } from './requests';
import * as Settings from './settings';
import * as Stores from './store';
import * as Watches from './watches';

export interface PlatformStandin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: PlatformFault) => Promise<void>;
  readonly getCounters: () => Counters.PlatformCounters;
  readonly getRevision: () => number;
}

/** Responses that remain to be dropped. */
interface ResponseLoss {
  readonly count: number;
  readonly path?: string | undefined;
}

export interface PlatformOptions {
  /** Defaults to the monotonic system clock; tests pass their own. */
  readonly clock?: Settings.PlatformClock;
}

/** The gateway's JSON carries bytes as base64, which is a third larger. */
const BASE64_SIZE_RATIO = 4 / 3;

const SYSTEM_CLOCK: Settings.PlatformClock = { getNowMs: () => performance.now() };

export function createPlatformStandin(
  input: Settings.PlatformSettingsInput = {},
  options: PlatformOptions = {},
): PlatformStandin {
  const settings = Settings.platformSettingsSchema.parse(input);
  const clock = options.clock ?? SYSTEM_CLOCK;
  const store = Stores.createStore(settings.historyRevisions);
  const leases = Leases.createLeases(store, clock);
  const keyCalls = KeyCalls.createKeyCalls(store, leases, settings);
  const leaseCalls = LeaseCalls.createLeaseCalls(store, leases, clock);
  const watches = Watches.createWatches(store, settings.progressMs);
  const server = Servers.createStandinServer(settings.listen, handleRequest);
  const control: Control.ControlOptions<PlatformFault> = {
    schema: Faults.platformFaultSchema,
    setFault,
    getCounters,
  };
  const gate = Waiting.createGate();
  const reviveTask = Waiting.createDeferredTask();
  const counts = { reads: 0, writes: 0, leaseCalls: 0, watchesOpened: 0 };
  let leaseTimer: NodeJS.Timeout | undefined;
  let isDown = false;
  let slowMs = 0;
  let responseLoss: ResponseLoss = { count: 0 };

  function runCall(path: Exclude<PlatformPath, '/v3/watch'>, raw: unknown): KeyCalls.CallResult {
    const handlers: Readonly<Record<typeof path, () => KeyCalls.CallResult>> = {
      '/v3/kv/range': () => runParsed('/v3/kv/range', raw, keyCalls.readRange),
      '/v3/kv/put': () => runParsed('/v3/kv/put', raw, keyCalls.writeKey),
      '/v3/kv/deleterange': () => runParsed('/v3/kv/deleterange', raw, keyCalls.removeRange),
      '/v3/kv/txn': () => runParsed('/v3/kv/txn', raw, keyCalls.runTransaction),
      '/v3/kv/compaction': () =>
        runParsed('/v3/kv/compaction', raw, (body) => keyCalls.compact(body.revision)),
      '/v3/lease/grant': () =>
        runParsed('/v3/lease/grant', raw, (body) => leaseCalls.grantLease(body.ID, body.TTL)),
      '/v3/lease/keepalive': () =>
        runParsed('/v3/lease/keepalive', raw, (body) => leaseCalls.updateLease(body.ID)),
      '/v3/lease/revoke': () =>
        runParsed('/v3/lease/revoke', raw, (body) => leaseCalls.revokeLease(body.ID)),
      '/v3/lease/timetolive': () =>
        runParsed('/v3/lease/timetolive', raw, (body) => leaseCalls.readLease(body.ID, body.keys)),
    };
    leases.removeExpired();
    return handlers[path]();
  }

  async function handleCall(path: PlatformPath, exchange: Http.Exchange): Promise<void> {
    const { response } = exchange;
    counts[Counters.getCallKind(path)] += 1;
    if (slowMs > 0) await Waiting.waitMs(slowMs);
    await gate.waitOpen();
    if (isDown) {
      response.destroy();
      return;
    }
    const raw = Http.parseJson(exchange.body);
    if (path === '/v3/watch') {
      openWatch(raw, response);
      return;
    }
    const isTooLarge = exchange.body.length > settings.maxRequestBytes * BASE64_SIZE_RATIO;
    const result = isTooLarge ? Errors.REQUEST_TOO_LARGE : runCall(path, raw);
    if (isResponseLost(path)) {
      responseLoss = { ...responseLoss, count: responseLoss.count - 1 };
      response.destroy();
    } else if (KeyCalls.isError(result)) sendError(response, result);
    else Http.sendJson(response, 200, result);
  }

  function isResponseLost(path: PlatformPath): boolean {
    if (responseLoss.count === 0) return false;
    return responseLoss.path === undefined
      ? Counters.isWritingCall(path)
      : responseLoss.path === path;
  }

  function openWatch(raw: unknown, response: ServerResponse): void {
    const parsed = Requests.parseBody('/v3/watch', raw);
    if (parsed.kind === 'invalid') sendError(response, Errors.buildInvalid(parsed.message));
    else watches.openWatch(parsed.body.create_request, response);
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = await Http.readExchange(request, response);
    const path = exchange.url.pathname;
    if (Control.isControlRequest(exchange)) await Control.handleControl(control, exchange);
    else if (isDown) response.destroy();
    else if (Requests.isPlatformPath(path)) await handleCall(path, exchange);
    else sendError(response, Errors.PATH_UNKNOWN);
  }

  async function setFault(fault: PlatformFault): Promise<void> {
    if (fault.kind === 'up') await removeFaults();
    else if (fault.kind === 'down') simulateOutage();
    else if (fault.kind === 'refuse') refuseConnections(fault.forMs);
    else if (fault.kind === 'hang') gate.close();
    else if (fault.kind === 'slow') slowMs = fault.ms;
    else if (fault.kind === 'loseAnswers') responseLoss = fault;
    else simulateWatchGap();
  }

  function simulateOutage(): void {
    isDown = true;
    server.closeConnections();
  }

  function refuseConnections(forMs: number | undefined): void {
    server.refuseConnections();
    if (forMs !== undefined) reviveTask.delay(forMs, removeFaults);
  }

  async function removeFaults(): Promise<void> {
    isDown = false;
    slowMs = 0;
    responseLoss = { count: 0 };
    gate.open();
    await server.start();
  }

  /**
   * Advances by two revisions, so that the one after the last that any watcher received is
   * compacted.
   */
  function simulateWatchGap(): void {
    store.addEmptyRevisions(2);
    store.compact(store.getRevision());
    watches.closeAll();
  }

  function getCounters(): Counters.PlatformCounters {
    return { ...counts, watchesOpen: watches.getOpenCount() };
  }

  async function start(): Promise<{ readonly address: string }> {
    leaseTimer ??= setInterval(leases.removeExpired, settings.leaseCheckMs).unref();
    return server.start();
  }

  async function stop(): Promise<void> {
    reviveTask.cancel();
    clearInterval(leaseTimer);
    leaseTimer = undefined;
    gate.open();
    await server.stop();
  }

  return { start, stop, setFault, getCounters, getRevision: store.getRevision };
}

function runParsed<Path extends PlatformPath>(
  path: Path,
  raw: unknown,
  run: (body: Extract<Requests.ParsedBody<Path>, { kind: 'body' }>['body']) => KeyCalls.CallResult,
): KeyCalls.CallResult {
  const parsed = Requests.parseBody(path, raw);
  return parsed.kind === 'invalid' ? Errors.buildInvalid(parsed.message) : run(parsed.body);
}

function sendError(response: ServerResponse, error: PlatformError): void {
  const { code, message, status } = error;
  Http.sendJson(response, status, { error: message, code, message });
}
