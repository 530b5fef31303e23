/**
 * Stand-in for the platform's targets, model engines and plain services, with injectable faults.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';

import * as Servers from '../shared/server';
import * as Silences from '../shared/silence';
import type { Silence } from '../shared/silence';
import * as Timers from '../shared/timers';
import * as Documents from './documents';
import * as LargeAnswers from './largeAnswers';
import { EVENT_COUNT, formatEvent } from './streamEvents';

export type TargetFault =
  | 'none'
  /** Resets the connection once a stream has sent `EVENTS_BEFORE_FAULT` events. */
  | 'dieInStream'
  /** Sends streams without framing, and ends the connection within an event after the same number of events. */
  | 'unframedBreak'
  /** Sends a stream without framing, and exits after the same number of events. */
  | 'unframedExit'
  /**
   * After the same number of events, the target sends and answers nothing more, but closes no
   * connection.
   */
  | 'fallSilentInStream'
  /** Sends non-streaming answers without a length and closes the connection halfway through. */
  | 'unframedHalf'
  /** Sends a second answer, with the id of another request, after each answer. */
  | 'extraAnswer'
  /** Refuses the request without running it, as with a full queue. */
  | 'shed'
  /** Runs the request and answers with a server error. */
  | 'serverError'
  /** Runs the request and closes the connection without an answer. */
  | 'loseAnswer';

/** One request that a target started to run. */
export interface TargetRun {
  readonly requestId: string;
  readonly path: string;
  /** The organisation that the request named in its header. */
  readonly organisation: string;
  /** Whether the request carried the caller's API key. */
  readonly hasApiKey: boolean;
  /** `performance.now()`, milliseconds. */
  readonly startedAtMs: number;
}

export interface TargetOptions {
  /** `IP:port`; port 0 lets the operating system choose one. */
  readonly listen?: string;
  /** Number of events in each stream. */
  readonly eventCount?: number;
  /** Time between two events. */
  readonly eventMs?: number;
  /** Version of its software, which it names in each event; undefined: its events name none. */
  readonly version?: string;
  /** Simulates a crash of the process as soon as it starts to run a request with this path. */
  readonly crashPath?: string;
  /** Simulates a crash of the process some time after it has begun to answer certain prompts. */
  readonly promptCrash?: PromptCrash;
  /** Time for which it holds a stream before it runs it. */
  readonly holdMs?: number;
}

export interface PromptCrash {
  /** Ids of the parts of a prompt of which each makes it crash. */
  readonly parts: readonly string[];
  /** Time from the head of the answer to the crash; events are sent meanwhile. */
  readonly afterMs: number;
  readonly onCrash: () => unknown;
}

export interface TargetRoom {
  readonly slots: number;
  readonly runMs: number;
}

export interface TargetStandin extends Silence {
  readonly id: string;
  readonly start: () => Promise<string>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: TargetFault) => void;
  /**
   * Sets the limit, in requests per second, that its answers announce; undefined announces none.
   */
  readonly setAnnouncedLimit: (perSecond: number | undefined) => void;
  /** Sets whether all its answers say that it is about to stop. It continues to serve. */
  readonly setLeaving: (isLeaving: boolean) => void;
  /**
   * Sets the time, in seconds, for which its refusals with 503 ask for no requests; undefined asks
   * for none.
   */
  readonly setRequestedRest: (seconds: number | undefined) => void;
  /**
   * Sets how many rejections a second its answers say that it bears; undefined: they do not say so.
   */
  readonly setBrittle: (rejectionsPerSecond: number | undefined) => void;
  /** Limits the requests that run at a time; others are rejected. Each takes `runMs`. */
  readonly setRoom: (room: TargetRoom) => void;
  /** Lists the runs in the order in which they started. */
  readonly listRuns: () => readonly TargetRun[];
  /** Lists the headers of all requests, including those that were not run. */
  readonly listHeaders: () => readonly IncomingHttpHeaders[];
  /** Counts the requests that were rejected for want of room. */
  readonly countRejected: () => number;
  /** Counts the requests that are running now; none once the target is silent for good. */
  readonly countInFlight: () => number;
}

const EVENTS_BEFORE_FAULT = 5;
const EVENT_MS = 15;

export function createTargetStandin(id: string, options: TargetOptions = {}): TargetStandin {
  const { listen = '127.0.0.1:0', eventCount = EVENT_COUNT, version, crashPath } = options;
  const { promptCrash, holdMs = 0, eventMs = EVENT_MS } = options;
  let fault: TargetFault = 'none';
  let announcedLimitPerSecond: number | undefined;
  let isLeaving = false;
  let restSeconds: number | undefined;
  let brittleness: number | undefined;
  let room: TargetRoom | undefined;
  let rejectedCount = 0;
  let hasCrashed = false;
  const runs: TargetRun[] = [];
  const receivedHeaders: IncomingHttpHeaders[] = [];
  let inFlight = 0;
  let heldCount = 0;
  /** Tokens of each cached part of a prompt, by the id of the part. */
  const cachedTokensByPart = new Map<string, number>();
  const timers = Timers.createRunTimers();

  async function delayRun(): Promise<void> {
    heldCount += 1;
    await timers.waitMs(holdMs);
    heldCount -= 1;
  }

  function startCrash({ afterMs, onCrash }: PromptCrash): void {
    timers.startTimer(() => {
      if (hasCrashed) return;
      hasCrashed = true;
      server.refuseConnections();
      onCrash();
    }, afterMs);
  }

  /** Ends the connection in an orderly way, as the kernel does for a process that is killed. */
  function closeUnframed(response: ServerResponse): void {
    if (fault === 'unframedBreak') response.write('id: 6\ndata: ha');
    else server.stopListening();
    response.end();
  }

  function writeStreamHead(requestId: string, response: ServerResponse, isUnframed: boolean): void {
    if (isUnframed) response.removeHeader('transfer-encoding');
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': requestId,
      'server-signature': Documents.formatSignature(id),
      ...(isUnframed ? { connection: 'close' } : {}),
    });
  }

  async function sendStream(requestId: string, from: number, response: ServerResponse) {
    const isUnframed = fault === 'unframedBreak' || fault === 'unframedExit';
    writeStreamHead(requestId, response, isUnframed);
    const lastUnframed = isUnframed ? Math.max(EVENTS_BEFORE_FAULT, from + 1) : undefined;
    for (let number = from; number <= eventCount; number += 1) {
      await timers.waitMs(eventMs);
      if (response.destroyed) return;
      response.write(formatEvent(requestId, number, version));
      if (number === EVENTS_BEFORE_FAULT && fault === 'dieInStream') {
        // Breaks off within an event, as a crash does.
        response.write('id: 6\ndata: ha', () => response.socket?.resetAndDestroy());
        return;
      }
      if (number === lastUnframed) {
        closeUnframed(response);
        return;
      }
      if (number === EVENTS_BEFORE_FAULT && fault === 'fallSilentInStream') {
        silence.stopSilently();
      }
    }
    response.end();
  }

  function sendAnswer(
    { url = '' }: IncomingMessage,
    requestId: string,
    body: string,
    response: ServerResponse,
  ): void {
    const limit =
      announcedLimitPerSecond === undefined
        ? {}
        : { 'server-limit': String(announcedLimitPerSecond) };
    const headers = {
      'request-id': requestId,
      'server-signature': Documents.formatSignature(id),
      ...limit,
    };
    if (LargeAnswers.sendLargeAnswer(url, headers, response, timers)) return;
    if (fault === 'serverError') {
      response.writeHead(500, { ...headers, 'content-length': 0 }).end();
      return;
    }
    if (fault === 'unframedHalf') {
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { ...headers, connection: 'close' });
      response.end(body.slice(0, body.length / 2));
      return;
    }
    response.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(body) });
    response.end(body);
    if (fault === 'extraAnswer') {
      const extra = 'HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 5\r\n\r\nextra';
      response.socket?.write(extra);
    }
  }

  function handleReport(response: ServerResponse): void {
    const report = {
      queued: heldCount,
      active: inFlight,
      kvUsed: inFlight * 1_000,
      kvTotal: 100_000,
      runs: [],
    };
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...report, state: 'ready' }));
  }

  function handleKvList(response: ServerResponse): void {
    const held = [...cachedTokensByPart].map(([part, tokens]) => ['', part, tokens, 'm']);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ epoch: 1, next: 1, held }));
  }

  /** Returns the ids of the parts. */
  function addCachedParts(promptPrefix: unknown): readonly string[] {
    if (typeof promptPrefix !== 'string') return [];
    return promptPrefix.split(',').map((part) => {
      const [partId = '', tokens = '0'] = part.split(':');
      cachedTokensByPart.set(partId, Number(tokens));
      return partId;
    });
  }

  /** Handlers of the paths for management calls, which are not requests of callers. */
  const managementHandlers: Readonly<Record<string, (response: ServerResponse) => void>> = {
    '/report': handleReport,
    '/kv-list': handleKvList,
    '/kv-move': (response) => response.writeHead(404).end(),
    '/healthz': (response) => response.writeHead(200, { 'instance-id': id }).end(),
  };

  /** Ends a run without an answer if a fault requires it; returns false if the run continues. */
  function stopRunByFault(request: IncomingMessage, response: ServerResponse): boolean {
    if (crashPath !== undefined && request.url === crashPath) {
      server.refuseConnections();
      return true;
    }
    if (fault !== 'loseAnswer') return false;
    response.destroy();
    return true;
  }

  function refuseAsFull(requestId: string, response: ServerResponse): void {
    const rest = restSeconds === undefined ? {} : { 'retry-after': String(restSeconds) };
    response.writeHead(503, { 'not-executed': '1', 'request-id': requestId, ...rest }).end();
  }

  function hasNoRoom(): boolean {
    if (room === undefined || inFlight < room.slots) return false;
    rejectedCount += 1;
    return true;
  }

  async function runRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const requestId = String(request.headers['request-id']);
    if (holdMs > 0 && request.headers.accept === 'text/event-stream') await delayRun();
    if (hasCrashed || response.destroyed) return;
    runs.push({
      requestId,
      path: request.url ?? '',
      organisation: String(request.headers.tenant),
      hasApiKey: request.headers.credential !== undefined,
      startedAtMs: performance.now(),
    });
    if (stopRunByFault(request, response)) return;
    inFlight += 1;
    if (room !== undefined) await timers.waitMs(room.runMs);
    const partIds = addCachedParts(request.headers['prompt-prefix']);
    if (promptCrash?.parts.some((part) => partIds.includes(part)) === true) startCrash(promptCrash);
    const isStream = request.headers.accept === 'text/event-stream';
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    if (isStream) await sendStream(requestId, from, response);
    else sendAnswer(request, requestId, `${requestId} got ${body}`, response);
    inFlight -= 1;
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const handleManagement = managementHandlers[request.url ?? ''];
    if (handleManagement !== undefined) {
      handleManagement(response);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const requestId = String(request.headers['request-id']);
    const expected = request.headers['expect-instance'];
    receivedHeaders.push(request.headers);
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'request-id': requestId }).end();
      return;
    }
    if (fault === 'shed' || hasNoRoom()) {
      refuseAsFull(requestId, response);
      return;
    }
    await runRequest(request, response, Buffer.concat(chunks).toString());
  }

  const server = Servers.createStandinServer(listen, (request, response) => {
    if (isLeaving) response.setHeader('server-leaving', '1');
    if (brittleness !== undefined) response.setHeader('server-brittle', String(brittleness));
    return handleRequest(request, response);
  });

  const silence = Silences.createSilence(server, timers);

  return {
    id,
    start: async () => (await server.start()).address,
    stop: server.stop,
    setFault(next) {
      fault = next;
    },
    setAnnouncedLimit(perSecond) {
      announcedLimitPerSecond = perSecond;
    },
    setLeaving(next) {
      isLeaving = next;
    },
    setRequestedRest(seconds) {
      restSeconds = seconds;
    },
    setBrittle(rejectionsPerSecond) {
      brittleness = rejectionsPerSecond;
    },
    setSilent: silence.setSilent,
    stopSilently: silence.stopSilently,
    setRoom(next) {
      room = next;
    },
    listRuns: () => runs,
    countRejected: () => rejectedCount,
    listHeaders: () => receivedHeaders,
    countInFlight: () => (silence.isForGood() ? 0 : inFlight),
  };
}
