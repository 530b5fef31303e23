/**
 * Answers of the stand-in for targets that never end: bytes that are no answer, or more of them than the answer has,
 * until the connection is closed.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { RunTimers } from '../shared/timers';
import { formatChunk, formatHead } from './rawHttp';
import type { WholeAnswer } from './rawHttp';

export const ENDLESS_FORMS = [
  /** Interim responses with status 103, one after another. */
  'interim',
  /** A status line without end. */
  'headLine',
  /** Header fields without end. */
  'headerFields',
  /** A chunked body with status 500; the request has run. */
  'serverErrorBody',
  /** A chunked body with status 404; the request has run. */
  'notFoundBody',
  /** A chunked body with status 503 and the header that says that the request was not run. */
  'notRunBody',
  /** An event stream whose first event has no end. */
  'event',
  /** An event stream of comment lines. */
  'comments',
  /** An event stream of complete events without ids. */
  'eventsWithoutId',
  /** A chunked body with status 200 that is not an event stream. */
  'body',
  /** A whole answer with further bytes directly after its content-length. */
  'excessBody',
  /** A whole answer, followed by answers with ids of other requests. */
  'extraAnswers',
  /** A chunk whose extension has no end. */
  'chunkExtension',
  /** Trailer fields without end after a whole chunked answer. */
  'trailers',
  /** Bytes that are not HTTP. */
  'noHttp',
] as const;

export type EndlessForm = (typeof ENDLESS_FORMS)[number];

/** `requests`: those of callers; the others are the router's own calls. */
export type EndlessScope =
  'requests' | 'reports' | 'statusChecks' | 'cacheListings' | 'copyCommands';

export interface EndlessOptions {
  /** Each answer takes the next one, and the first one again after the last. */
  readonly forms: readonly EndlessForm[];
  /** `['requests']` unless given. */
  readonly scopes?: readonly EndlessScope[];
  /** Speed of each answer; as fast as the reader takes them if it is infinite. */
  readonly bytesPerSecond?: number;
}

/** One answer without end. */
export interface EndlessFlow {
  readonly form: EndlessForm;
  readonly scope: EndlessScope;
  /** Undefined for calls that carry none. */
  readonly requestId: string | undefined;
  /** `performance.now()`, milliseconds. */
  readonly startedAtMs: number;
  /** When its connection was closed; undefined while it is open. */
  readonly endedAtMs: number | undefined;
  /** Bytes written to the connection. */
  readonly bytes: number;
}

export interface EndlessAnswers {
  /** Applies to answers that have not begun; undefined: all answers are sent as usual. */
  readonly setEndless: (options: EndlessOptions | undefined) => void;
  /** Whether requests are refused as not run, with a body without end. */
  readonly refusesRequests: () => boolean;
  readonly isEndless: (scope: EndlessScope) => boolean;
  /** Sends without end in place of the answer; resolves when the connection is closed. */
  readonly sendEndless: (
    scope: EndlessScope,
    request: IncomingMessage,
    response: ServerResponse,
    whole: WholeAnswer,
  ) => Promise<void>;
  readonly listFlows: () => readonly EndlessFlow[];
}

const DEFAULT_BYTES_PER_SECOND = 1_300_000;
const WRITE_MS = 10;
/** Bounds what a sender catches up on after its reader or its process has paused. */
const MAX_BURST_BYTES = 65_536;
const CHUNK_BYTES = 1_000;
const DEFAULT_SCOPES: readonly EndlessScope[] = ['requests'];
const EXTRA_ANSWER =
  'HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 16\r\n\r\nof another call.';

/** Bytes of a flow: `start` once, then `unit` again and again. */
interface FlowBytes {
  readonly start: string;
  readonly unit: string;
}

const FILLER = 'a'.repeat(CHUNK_BYTES);
const FILLER_CHUNK = formatChunk(FILLER);
const CHUNKED = { 'transfer-encoding': 'chunked' };
const TEXT = { ...CHUNKED, 'content-type': 'text/plain' };
const EVENT_STREAM = { ...CHUNKED, 'content-type': 'text/event-stream' };

type BuildBytes = (whole: WholeAnswer) => FlowBytes;

function createChunkedForm(status: string, extraHeaders: OutgoingHttpHeaders = {}): BuildBytes {
  return ({ headers }) => ({
    start: formatHead(status, { ...headers, ...extraHeaders, ...TEXT }),
    unit: FILLER_CHUNK,
  });
}

function createStreamForm(firstText: string, unitText: string): BuildBytes {
  return ({ headers }) => ({
    start: formatHead('200 OK', { ...headers, ...EVENT_STREAM }) + formatChunk(firstText),
    unit: formatChunk(unitText),
  });
}

function formatWhole({ headers, body }: WholeAnswer): string {
  return formatHead('200 OK', { ...headers, 'content-length': body.length }) + body;
}

const BYTES_BY_FORM: Readonly<Record<EndlessForm, BuildBytes>> = {
  interim: () => ({
    start: '',
    unit: formatHead('103 Early Hints', { link: '</a.css>; rel=preload' }),
  }),
  headLine: () => ({ start: 'HTTP/1.1 200 ', unit: FILLER }),
  headerFields: () => ({ start: 'HTTP/1.1 200 OK\r\n', unit: `x-filler: ${FILLER}\r\n` }),
  serverErrorBody: createChunkedForm('500 Internal Server Error'),
  notFoundBody: createChunkedForm('404 Not Found'),
  notRunBody: createChunkedForm('503 Service Unavailable', { 'not-executed': '1' }),
  event: createStreamForm('id: 1\ndata: ', FILLER),
  comments: createStreamForm('', ': still working\n'.repeat(60)),
  eventsWithoutId: createStreamForm('', 'data: still working\n\n'.repeat(45)),
  body: createChunkedForm('200 OK'),
  excessBody: (whole) => ({ start: formatWhole(whole), unit: FILLER }),
  extraAnswers: (whole) => ({ start: formatWhole(whole), unit: EXTRA_ANSWER }),
  chunkExtension: ({ headers }) => ({
    start: `${formatHead('200 OK', { ...headers, ...CHUNKED })}5;`,
    unit: FILLER,
  }),
  trailers: ({ headers, body }) => ({
    start: `${formatHead('200 OK', { ...headers, ...CHUNKED })}${formatChunk(body)}0\r\n`,
    unit: `x-filler: ${FILLER}\r\n`,
  }),
  noHttp: () => ({ start: '', unit: FILLER }),
};

async function waitForDrain(socket: Socket): Promise<void> {
  if (socket.destroyed) return;
  await new Promise<void>((resolve) => {
    const finishWait = () => {
      socket.off('drain', finishWait);
      socket.off('close', finishWait);
      resolve();
    };
    socket.on('drain', finishWait);
    socket.on('close', finishWait);
  });
}

/** Writes to the socket itself, since `ServerResponse` keeps to the rules of HTTP. */
async function writeUntilClosed(
  socket: Socket,
  { start, unit }: FlowBytes,
  bytesPerSecond: number,
  timers: RunTimers,
  recordBytes: (bytes: number) => void,
): Promise<void> {
  const unitBytes = Buffer.byteLength(unit);
  const source = Buffer.from(unit.repeat(Math.ceil(MAX_BURST_BYTES / unitBytes) + 1));
  let offset = 0;
  let budgetBytes = 0;
  let lastMs = timers.getNowMs();
  recordBytes(Buffer.byteLength(start));
  if (start !== '') socket.write(start);
  while (!socket.destroyed) {
    const nowMs = timers.getNowMs();
    const earnedBytes =
      bytesPerSecond === Number.POSITIVE_INFINITY
        ? MAX_BURST_BYTES
        : ((nowMs - lastMs) / 1_000) * bytesPerSecond;
    budgetBytes = Math.min(MAX_BURST_BYTES, budgetBytes + earnedBytes);
    lastMs = nowMs;
    const bytes = Math.floor(budgetBytes);
    budgetBytes -= bytes;
    const isTaken = bytes === 0 || socket.write(source.subarray(offset, offset + bytes));
    recordBytes(bytes);
    offset = (offset + bytes) % unitBytes;
    if (!isTaken) await waitForDrain(socket);
    await timers.waitMs(bytesPerSecond === Number.POSITIVE_INFINITY ? 0 : WRITE_MS);
  }
}

export function createEndlessAnswers(timers: RunTimers): EndlessAnswers {
  const flows: EndlessFlow[] = [];
  let options: EndlessOptions | undefined;
  let forms: readonly EndlessForm[] = [];
  let nextIndex = 0;

  function getNextForm(): EndlessForm | undefined {
    return forms[nextIndex % forms.length];
  }

  function isEndless(scope: EndlessScope): boolean {
    return options !== undefined && (options.scopes ?? DEFAULT_SCOPES).includes(scope);
  }

  return {
    setEndless(next) {
      options = next;
      forms = next?.forms ?? [];
    },
    isEndless,
    refusesRequests: () => isEndless('requests') && getNextForm() === 'notRunBody',
    async sendEndless(scope, request, response, whole) {
      const { socket } = response;
      const form = getNextForm();
      if (options === undefined || form === undefined || socket === null) return;
      nextIndex += 1;
      const { bytesPerSecond = DEFAULT_BYTES_PER_SECOND } = options;
      const requestId = request.headers['request-id'];
      const flow = {
        form,
        scope,
        requestId: typeof requestId === 'string' ? requestId : undefined,
        startedAtMs: performance.now(),
        endedAtMs: undefined as number | undefined,
        bytes: 0,
      };
      flows.push(flow);
      request.resume();
      socket.once('close', () => {
        flow.endedAtMs = performance.now();
      });
      const flowBytes = BYTES_BY_FORM[form](whole);
      await writeUntilClosed(socket, flowBytes, bytesPerSecond, timers, (bytes) => {
        flow.bytes += bytes;
      });
      flow.endedAtMs ??= performance.now();
    },
    listFlows: () => flows,
  };
}
