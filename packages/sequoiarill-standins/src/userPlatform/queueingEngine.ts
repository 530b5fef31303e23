/**
 * Stand-in for the platform's engines with slots, a queue ordered by rank, prefill of one prompt at a
 * time and a KV cache of limited size. The query of a path may name the number of `events` and how many `padBytes` each
 * of them has.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Servers from '../shared/server';
import * as Silences from '../shared/silence';
import type { Silence } from '../shared/silence';
import * as Timers from '../shared/timers';
import type { RunTimer } from '../shared/timers';
import * as Documents from './documents';
import * as EngineQueues from './engineQueue';
import type { ActiveRun, EngineRequest } from './engineQueue';
import * as RawHttp from './rawHttp';
import { EVENT_COUNT, formatEvent } from './streamEvents';

export interface QueueingEngineOptions {
  /** `IP:port`; port 0 lets the operating system choose one. */
  readonly listen?: string;
  readonly slots?: number;
  /** Requests that wait for a slot or tokens; further ones are rejected. */
  readonly maxQueued?: number;
  readonly prefillTokensPerMs?: number;
  /** Time between two events of a run. */
  readonly eventMs?: number;
  /** Number of events in each stream whose path has no `events` in its query. */
  readonly eventCount?: number;
  readonly kvTokens?: number;
  readonly tokensPerEvent?: number;
  readonly preempts?: boolean;
  /** Factor on prefill and event times; 2 is half the speed. */
  readonly slowness?: number;
  readonly startedAtUnixMs?: number;
}

/** `dropped`: its connection closed; `stopped`: the engine stopped. */
export type QueueingRunEnd = 'whole' | 'dropped' | 'preempted' | 'stopped';

/** One stay of a request in a slot. A preempted request has one more for each time it starts again. */
export interface QueueingRun {
  readonly requestId: string;
  readonly path: string;
  /** The organisation that the request named in its header. */
  readonly organisation: string;
  readonly rank: number;
  readonly promptTokens: number;
  /** Times are `performance.now()`, milliseconds. */
  readonly startedAtMs: number;
  firstEventAtMs: number | undefined;
  endedAtMs: number | undefined;
  end: QueueingRunEnd | undefined;
}

export interface QueueingEngine extends Silence {
  readonly id: string;
  readonly start: () => Promise<string>;
  /** Breaks all connections and forgets all requests; `start` listens at the same address again. */
  readonly stop: () => Promise<void>;
  /** Lists the runs in the order in which they got a slot. */
  readonly listRuns: () => readonly QueueingRun[];
  /** Ids of the requests that were rejected because the queue was full. */
  readonly listRejected: () => readonly string[];
  readonly countInFlight: () => number;
  /** Counts the reads of its report. */
  readonly countReports: () => number;
  /** Changes the factor on prefill and event times; events and prompts that are due already stay. */
  readonly setSlowness: (slowness: number) => void;
  /** Resets all connections; what they ran is dropped. */
  readonly closeConnections: () => void;
}

interface Exchange extends EngineRequest {
  readonly path: string;
  readonly organisation: string;
  readonly response: ServerResponse;
}

interface Snapshot {
  readonly atMs: number;
  readonly text: string;
}

const REPORT_AGE_MS = 100;
/** Rank of a request that names none. */
const USUAL_RANK = 5;

const DEFAULTS: Required<QueueingEngineOptions> = {
  listen: '127.0.0.1:0',
  slots: 6,
  maxQueued: 24,
  prefillTokensPerMs: 100,
  eventMs: 40,
  eventCount: EVENT_COUNT,
  kvTokens: 88_000,
  tokensPerEvent: 7,
  preempts: false,
  slowness: 1,
  startedAtUnixMs: 1,
};

function decodeNumber(value: unknown, fallback: number): number {
  const number = typeof value === 'string' && value.trim() !== '' ? Number(value) : Number.NaN;
  return Number.isFinite(number) ? number : fallback;
}

export function createQueueingEngine(
  id: string,
  options: QueueingEngineOptions = {},
): QueueingEngine {
  const { listen, prefillTokensPerMs, eventMs, eventCount, startedAtUnixMs, ...size } = {
    ...DEFAULTS,
    ...options,
  };
  let { slowness } = size;
  const queue = EngineQueues.createEngineQueue<Exchange>(size);
  const runs: QueueingRun[] = [];
  const rejected: string[] = [];
  const recordsByRun = new Map<ActiveRun<Exchange>, QueueingRun>();
  const timers = Timers.createRunTimers();
  const timersByRun = new Map<ActiveRun<Exchange>, RunTimer>();
  let prefilling: ActiveRun<Exchange> | undefined;
  let waitingPrefills: ActiveRun<Exchange>[] = [];
  let snapshots: Snapshot[] = [];
  let reportReads = 0;
  /** Tokens of each cached part of a prompt, by the id of the part. */
  const cachedTokensByPart = new Map<string, number>();

  function recordSnapshot(): void {
    const queued = queue.listQueued();
    const active = queue.listActive();
    const [first] = queued;
    const text = JSON.stringify({
      queued: queued.length,
      active: active.length,
      kvUsed: queue.countUsedTokens(),
      kvTotal: size.kvTokens,
      state: 'ready',
      born: startedAtUnixMs,
      ...(first === undefined ? {} : { next: first.request.promptTokens }),
      runs: active
        .filter(({ events }) => events > 0)
        .map(({ request, tokens, events }) => [request.requestId, tokens, events, request.rank]),
    });
    const atMs = performance.now();
    snapshots.push({ atMs, text });
    // The newest snapshot that is old enough to be reported stays the first one.
    while ((snapshots[1]?.atMs ?? atMs) < atMs - REPORT_AGE_MS) snapshots.shift();
  }

  function getReport(): string {
    const latestMs = performance.now() - REPORT_AGE_MS;
    return (snapshots.findLast(({ atMs }) => atMs <= latestMs) ?? snapshots[0])?.text ?? '{}';
  }

  function recordEnd(run: ActiveRun<Exchange>, end: QueueingRunEnd): void {
    timersByRun.get(run)?.cancel();
    timersByRun.delete(run);
    const record = recordsByRun.get(run);
    recordsByRun.delete(run);
    if (record === undefined) return;
    record.endedAtMs = performance.now();
    record.end = end;
    waitingPrefills = waitingPrefills.filter((one) => one !== run);
    if (prefilling === run) prefilling = undefined;
  }

  function startRun(run: ActiveRun<Exchange>): void {
    const { requestId, path, organisation, rank, promptTokens } = run.request;
    const record: QueueingRun = {
      requestId,
      path,
      organisation,
      rank,
      promptTokens,
      startedAtMs: performance.now(),
      firstEventAtMs: undefined,
      endedAtMs: undefined,
      end: undefined,
    };
    runs.push(record);
    recordsByRun.set(run, record);
    waitingPrefills.push(run);
  }

  /** Updates slots and prefill after any change. */
  function runNext(): void {
    const { started, preempted } = queue.startNext();
    preempted.forEach((run) => recordEnd(run, 'preempted'));
    started.forEach(startRun);
    if (prefilling === undefined) startPrefill();
    recordSnapshot();
  }

  function startPrefill(): void {
    const run = waitingPrefills.shift();
    prefilling = run;
    if (run === undefined) return;
    const prefillMs = (run.tokens / prefillTokensPerMs) * slowness;
    const finishPrefill = () => {
      prefilling = undefined;
      startPrefill();
      sendEvent(run, timers.getNowMs());
    };
    timersByRun.set(run, timers.startTimer(finishPrefill, prefillMs));
  }

  /** Each event is timed from when the one before was due, so that late timers don't slow a run down. */
  function sendEvent(run: ActiveRun<Exchange>, dueMs: number): void {
    const { requestId, path, response, priorEvents } = run.request;
    const query = RawHttp.parseQuery(path);
    const lastNumber = Number(query.get('events') ?? eventCount);
    const number = priorEvents + run.events + 1;
    const record = recordsByRun.get(run);
    if (record === undefined) return;
    if (number > lastNumber) {
      closeRun(run);
      return;
    }
    record.firstEventAtMs ??= performance.now();
    if (!response.headersSent) writeHead(requestId, response);
    response.write(formatEvent(requestId, number, undefined, Number(query.get('padBytes'))));
    queue.addEvent(run).forEach((one) => recordEnd(one, 'preempted'));
    if (number === lastNumber) closeRun(run);
    else if (recordsByRun.has(run)) {
      const nextMs = dueMs + eventMs * slowness;
      const delayMs = Math.max(0, nextMs - timers.getNowMs());
      timersByRun.set(
        run,
        timers.startTimer(() => sendEvent(run, nextMs), delayMs),
      );
    }
    runNext();
  }

  function closeRun(run: ActiveRun<Exchange>): void {
    const { request } = run;
    recordEnd(run, 'whole');
    queue.removeRequest(request);
    if (!request.response.headersSent) writeHead(request.requestId, request.response);
    request.response.end();
    runNext();
  }

  function writeHead(requestId: string, response: ServerResponse): void {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': requestId,
      'server-signature': Documents.formatSignature(id),
    });
  }

  /** A finished request is left alone. */
  function removeExchange(request: Exchange): void {
    const run = queue.listActive().find((one) => one.request === request);
    if (run !== undefined) recordEnd(run, 'dropped');
    queue.removeRequest(request);
    runNext();
  }

  function addCachedParts(promptPrefix: unknown): void {
    if (typeof promptPrefix !== 'string') return;
    for (const part of promptPrefix.split(',')) {
      const [partId = '', tokens = '0'] = part.split(':');
      cachedTokensByPart.set(partId, Number(tokens));
    }
  }

  function addExchange({ url = '', headers }: IncomingMessage, response: ServerResponse): void {
    const requestId = String(headers['request-id']);
    const [promptTokens] = String(headers['token-usage'] ?? '').split(',');
    const request: Exchange = {
      requestId,
      path: url,
      organisation: String(headers.tenant),
      rank: decodeNumber(headers['request-priority'], USUAL_RANK),
      promptTokens: decodeNumber(promptTokens, 0),
      priorEvents: decodeNumber(headers['last-event-id'], 0),
      response,
    };
    if (queue.addRequest(request) === undefined) {
      rejected.push(requestId);
      response.writeHead(503, { 'not-executed': '1', 'request-id': requestId }).end();
      return;
    }
    addCachedParts(headers['prompt-prefix']);
    response.once('close', () => removeExchange(request));
    runNext();
  }

  function sendJson(response: ServerResponse, text: string): void {
    response.writeHead(200, { 'content-type': 'application/json' }).end(text);
  }

  /** Handlers of the paths for management calls, which are not requests of callers. */
  const managementHandlers: Readonly<Record<string, (response: ServerResponse) => void>> = {
    '/report': (response) => {
      reportReads += 1;
      sendJson(response, getReport());
    },
    '/kv-list': (response) => {
      const held = [...cachedTokensByPart].map(([part, tokens]) => ['', part, tokens, 'm']);
      sendJson(response, JSON.stringify({ epoch: 1, next: 1, held }));
    },
    '/kv-move': (response) => response.writeHead(404).end(),
    '/healthz': (response) => response.writeHead(200, { 'instance-id': id }).end(),
  };

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const handleManagement = managementHandlers[request.url ?? ''];
    if (handleManagement !== undefined) {
      handleManagement(response);
      return;
    }
    await Servers.readToEnd(request);
    const expected = request.headers['expect-instance'];
    if (response.destroyed) return;
    if (expected !== undefined && expected !== id) {
      const requestId = String(request.headers['request-id']);
      response.writeHead(421, { 'instance-id': id, 'request-id': requestId }).end();
      return;
    }
    addExchange(request, response);
  }

  const server = Servers.createStandinServer(listen, handleRequest);
  const silence = Silences.createSilence(server, timers);
  recordSnapshot();

  return {
    id,
    start: async () => (await server.start()).address,
    async stop() {
      [...recordsByRun.keys()].forEach((run) => recordEnd(run, 'stopped'));
      queue.removeAll();
      waitingPrefills = [];
      snapshots = [];
      cachedTokensByPart.clear();
      recordSnapshot();
      await server.stop();
      silence.stop();
    },
    setSilent: silence.setSilent,
    stopSilently: silence.stopSilently,
    listRuns: () => runs,
    listRejected: () => rejected,
    countReports: () => reportReads,
    setSlowness(next) {
      slowness = next;
    },
    closeConnections: server.closeConnections,
    countInFlight: () => queue.listActive().length + queue.listQueued().length,
  };
}
