/**
 * Stand-in for the platform's targets, model engines and plain services, with injectable faults.
 */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';

import * as Servers from '../shared/server';
import * as Silences from '../shared/silence';
import * as Timers from '../shared/timers';
import * as Documents from './documents';
import * as EndlessAnswers from './endlessAnswers';
import * as LargeAnswers from './largeAnswers';
import * as LateRefusals from './lateRefusals';
import * as ManagementCalls from './managementCalls';
import * as PausedAnswers from './pausedAnswers';
import type { WholeAnswer } from './rawHttp';
import { EVENT_COUNT, formatEvent, formatEvents } from './streamEvents';
import { UNFRAMED_ANSWERS, UNFRAMED_STREAMS } from './targetTypes';
import type {
  PromptCrash,
  TargetArrival,
  TargetFault,
  TargetOptions,
  TargetRoom,
  TargetRun,
  TargetStandin,
} from './targetTypes';

const EVENTS_BEFORE_FAULT = 5;
const EVENT_MS = 15;

export function createTargetStandin(id: string, options: TargetOptions = {}): TargetStandin {
  const { listen = '127.0.0.1:0', eventCount = EVENT_COUNT, version, crashPath } = options;
  const { promptCrash, drawHoldMs, eventMs = EVENT_MS } = options;
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
  const arrivals: TargetArrival[] = [];
  let inFlight = 0;
  let heldCount = 0;
  /** Tokens of each cached part of a prompt, by the id of the part. */
  const cachedTokensByPart = new Map<string, number>();
  const timers = Timers.createRunTimers();
  const endless = EndlessAnswers.createEndlessAnswers(timers);
  const lateRefusals = LateRefusals.createLateRefusals();

  async function delayRun(drawMs: () => number): Promise<void> {
    heldCount += 1;
    await timers.waitMs(drawMs());
    heldCount -= 1;
  }

  function startCrash({ afterMs, way = 'reset', onCrash }: PromptCrash): void {
    timers.startTimer(() => {
      if (hasCrashed) return;
      hasCrashed = true;
      if (way === 'silence') silence.stopSilently();
      else server.refuseConnections();
      onCrash();
    }, afterMs);
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
    const streamFault = fault;
    const isUnframed = UNFRAMED_STREAMS.has(streamFault);
    writeStreamHead(requestId, response, isUnframed);
    const lastUnframed = isUnframed ? Math.max(EVENTS_BEFORE_FAULT, from + 1) : undefined;
    for (let number = from; number <= eventCount; number += 1) {
      await timers.waitMs(eventMs);
      if (response.destroyed) return;
      const event = formatEvent(requestId, number, version);
      if (number === lastUnframed) {
        LargeAnswers.sendUnframedEnd(streamFault, event, response, server.stopListening);
        return;
      }
      response.write(event);
      if (number === EVENTS_BEFORE_FAULT && fault === 'dieInStream') {
        // Breaks off within an event, as a crash does.
        response.write('id: 6\ndata: ha', () => response.socket?.resetAndDestroy());
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
    if (UNFRAMED_ANSWERS.has(fault)) {
      if (fault === 'unframedExit') server.stopListening();
      LargeAnswers.sendUnframedHalf(body, fault === 'unframedReset', headers, response, timers);
      return;
    }
    response.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(body) });
    response.end(body);
    if (fault === 'extraAnswer') {
      const extra = 'HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 5\r\n\r\nextra';
      response.socket?.write(extra);
    }
  }

  function formatReport(): string {
    const report = {
      queued: heldCount,
      active: inFlight,
      kvUsed: inFlight * 1_000,
      kvTotal: 100_000,
      runs: [],
    };
    return JSON.stringify({ ...report, state: 'ready' });
  }

  function formatCachedParts(): string {
    const held = [...cachedTokensByPart].map(([part, tokens]) => ['', part, tokens, 'm']);
    return JSON.stringify({ epoch: 1, next: 1, held });
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

  const management = ManagementCalls.createManagementCalls(
    { id, formatReport, formatCachedParts },
    endless,
  );

  function buildWholeAnswer({ headers, url = '' }: IncomingMessage, body: string): WholeAnswer {
    const requestId = String(headers['request-id']);
    const isStream = headers.accept === 'text/event-stream';
    const from = Number(headers['last-event-id'] ?? 0) + 1;
    return {
      headers: {
        'request-id': requestId,
        'server-signature': Documents.formatSignature(id),
        ...(isStream ? { 'content-type': 'text/event-stream' } : {}),
      },
      body: isStream
        ? (PausedAnswers.findLargeEvent(url) ?? formatEvents(requestId, from, eventCount, version))
        : `${requestId} got ${body}`,
    };
  }

  /** Sends an answer that is not written by `ServerResponse`; returns false if none is to be sent. */
  async function sendRawAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<boolean> {
    const { url = '' } = request;
    const isEndless = endless.isEndless('requests');
    if (!isEndless && !PausedAnswers.isPaused(url)) return false;
    const whole = buildWholeAnswer(request, body);
    inFlight += 1;
    if (isEndless) await endless.sendEndless('requests', request, response, whole);
    else await PausedAnswers.sendPaused(url, whole, response, timers);
    inFlight -= 1;
    return true;
  }

  /** Ends a run if a fault or its path requires it; returns false if the run continues. */
  async function stopRunByFault(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<boolean> {
    if (crashPath !== undefined && request.url === crashPath) {
      server.refuseConnections();
      return true;
    }
    if (fault === 'loseAnswer') {
      response.destroy();
      return true;
    }
    return sendRawAnswer(request, response, body);
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
    const isStreamed = request.headers.accept === 'text/event-stream';
    if (drawHoldMs !== undefined && isStreamed) await delayRun(drawHoldMs);
    if (hasCrashed || response.destroyed) return;
    runs.push({
      requestId,
      path: request.url ?? '',
      organisation: String(request.headers.tenant),
      hasApiKey: request.headers.credential !== undefined,
      startedAtMs: performance.now(),
    });
    if (await stopRunByFault(request, response, body)) return;
    inFlight += 1;
    if (room !== undefined) await timers.waitMs(room.runMs);
    const partIds = addCachedParts(request.headers['prompt-prefix']);
    if (promptCrash?.parts.some((part) => partIds.includes(part)) === true) startCrash(promptCrash);
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    if (isStreamed) await sendStream(requestId, from, response);
    else sendAnswer(request, requestId, `${requestId} got ${body}`, response);
    inFlight -= 1;
  }

  function recordArrival(requestId: string, limit: string | string[] | undefined): void {
    const limitMs = limit === undefined ? undefined : Number(limit);
    arrivals.push({ requestId, atMs: performance.now(), limitMs });
  }

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (management.isManagementCall(request)) {
      await management.handleCall(request, response);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const requestId = String(request.headers['request-id']);
    const expected = request.headers['expect-instance'];
    receivedHeaders.push(request.headers);
    recordArrival(requestId, request.headers['deadline-ms']);
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'request-id': requestId }).end();
      return;
    }
    const isRefused = fault === 'lateRefusal' && lateRefusals.sendLate(request, requestId);
    if (isRefused || fault === 'shed' || hasNoRoom()) {
      refuseAsFull(requestId, response);
      return;
    }
    const body = Buffer.concat(chunks).toString();
    if (endless.refusesRequests()) await sendRawAnswer(request, response, body);
    else await runRequest(request, response, body);
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
      lateRefusals.clear();
    },
    setEndless: endless.setEndless,
    listEndlessFlows: endless.listFlows,
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
    listArrivals: () => arrivals,
    countInFlight: () => (silence.isForGood() ? 0 : inFlight),
  };
}
