/** A stand-in of the platform's targets: model engines and plain services, with their failures. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';

import * as Servers from '../shared/server';

export type TargetFault =
  | 'none'
  /** Connections are reset once a stream has sent so many events. */
  | 'dieInStream'
  /** Nothing is sent or answered any more from there on, and nothing is closed. */
  | 'fallSilentInStream'
  /** Whole answers have no length and end early with their connection. */
  | 'unframedHalf'
  /** A second answer, to an earlier request, follows each answer. */
  | 'extraAnswer'
  /** The request is not run: the queue is full. */
  | 'shed'
  /** Runs, and answers that it failed. */
  | 'serverError'
  /** Runs, and closes the connection without an answer. */
  | 'loseAnswer';

/** One request that a target began to run. */
export interface TargetRun {
  readonly requestId: string;
  readonly path: string;
  /** Whose request it is, as it was told. */
  readonly organisation: string;
  /** The caller's key was passed on. */
  readonly hasApiKey: boolean;
  /** `performance.now()`, milliseconds. */
  readonly startedAtMs: number;
}

export interface TargetOptions {
  /** `IP:port`; port 0 lets the operating system choose one. */
  readonly listen?: string;
  /** Events of each stream. */
  readonly eventCount?: number;
  /** The process ends as soon as it begins to run a request of this path. */
  readonly crashPath?: string;
}

export interface TargetStandin {
  readonly id: string;
  readonly start: () => Promise<string>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: TargetFault) => void;
  /** Requests a second that it names in its answers; undefined: none. */
  readonly setAnnouncedLimit: (perSecond: number | undefined) => void;
  /** In the order in which they were begun. */
  readonly listRuns: () => readonly TargetRun[];
  /** Headers of all requests, also of those that were not run. */
  readonly listHeaders: () => readonly IncomingHttpHeaders[];
  /** Requests that it works on now. */
  readonly countInFlight: () => number;
}

export const EVENT_COUNT = 12;
const EVENTS_BEFORE_FAULT = 5;
const EVENT_MS = 15;

/** The events of a request are the same on every engine. */
export function formatEvent(requestId: string, number: number): string {
  return `id: ${number}\ndata: ${requestId} token ${number}\n\n`;
}

export function formatEvents(requestId: string, from = 1, count = EVENT_COUNT): string {
  const numbers = Array.from({ length: count }, (_one, index) => index + 1);
  return numbers
    .filter((number) => number >= from)
    .map((number) => formatEvent(requestId, number))
    .join('');
}

export function createTargetStandin(id: string, options: TargetOptions = {}): TargetStandin {
  const { listen = '127.0.0.1:0', eventCount = EVENT_COUNT, crashPath } = options;
  let fault: TargetFault = 'none';
  let isSilent = false;
  let namedLimit: number | undefined;
  const runs: TargetRun[] = [];
  const seenHeaders: IncomingHttpHeaders[] = [];
  let running = 0;
  /** Parts of the prompts that it has read. */
  const kept = new Map<string, number>();

  async function waitMs(ms: number): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  async function sendStream(requestId: string, from: number, response: ServerResponse) {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': requestId,
      'server-signature': `signed by ${id}`,
    });
    for (let number = from; number <= eventCount; number += 1) {
      await waitMs(EVENT_MS);
      if (response.destroyed) return;
      if (isSilent) return;
      response.write(formatEvent(requestId, number));
      if (number === EVENTS_BEFORE_FAULT && fault === 'dieInStream') {
        // In the middle of an event, as a crash does.
        response.write('id: 6\ndata: ha', () => response.socket?.resetAndDestroy());
        return;
      }
      if (number === EVENTS_BEFORE_FAULT && fault === 'fallSilentInStream') isSilent = true;
    }
    response.end();
  }

  function sendWhole(requestId: string, body: string, response: ServerResponse): void {
    const limit = namedLimit === undefined ? {} : { 'server-limit': String(namedLimit) };
    const headers = { 'request-id': requestId, 'server-signature': `signed by ${id}`, ...limit };
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
      queued: 0,
      active: running,
      kvUsed: running * 1_000,
      kvTotal: 100_000,
      runs: [],
    };
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...report, state: 'ready' }));
  }

  function handleKept(response: ServerResponse): void {
    const held = [...kept].map(([part, tokens]) => ['', part, tokens, 'm']);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ epoch: 1, next: 1, held }));
  }

  function addPrompt(parts: unknown): void {
    if (typeof parts !== 'string') return;
    for (const part of parts.split(',')) {
      const [partId = '', tokens = '0'] = part.split(':');
      kept.set(partId, Number(tokens));
    }
  }

  /** Paths that are no caller's request. */
  const ownAnswers: Readonly<Record<string, (response: ServerResponse) => void>> = {
    '/report': handleReport,
    '/kv-list': handleKept,
    '/kv-move': (response) => response.writeHead(404).end(),
    '/healthz': (response) => response.writeHead(200, { 'instance-id': id }).end(),
  };

  /** A run that ends without an answer; false where it goes on. */
  function failRun(request: IncomingMessage, response: ServerResponse): boolean {
    if (crashPath !== undefined && request.url === crashPath) {
      server.refuseConnections();
      return true;
    }
    if (fault !== 'loseAnswer') return false;
    response.destroy();
    return true;
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (isSilent) return;
    const answerOwn = ownAnswers[request.url ?? ''];
    if (answerOwn !== undefined) {
      answerOwn(response);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const requestId = String(request.headers['request-id']);
    const expected = request.headers['expect-instance'];
    seenHeaders.push(request.headers);
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'request-id': requestId }).end();
      return;
    }
    if (fault === 'shed') {
      response.writeHead(503, { 'not-executed': '1', 'request-id': requestId }).end();
      return;
    }
    runs.push({
      requestId,
      path: request.url ?? '',
      organisation: String(request.headers.tenant),
      hasApiKey: request.headers.credential !== undefined,
      startedAtMs: performance.now(),
    });
    if (failRun(request, response)) return;
    running += 1;
    addPrompt(request.headers['prompt-prefix']);
    const isStream = request.headers.accept === 'text/event-stream';
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    if (isStream) await sendStream(requestId, from, response);
    else sendWhole(requestId, `${requestId} got ${Buffer.concat(chunks).toString()}`, response);
    running -= 1;
  }

  const server = Servers.createStandinServer(listen, handleRequest);

  return {
    id,
    start: async () => (await server.start()).address,
    stop: server.stop,
    setFault(next) {
      fault = next;
    },
    setAnnouncedLimit(perSecond) {
      namedLimit = perSecond;
    },
    listRuns: () => runs,
    listHeaders: () => seenHeaders,
    countInFlight: () => running,
  };
}
