/**
 * One attempt of a request at one engine: from its dispatch to its last byte.
 *
 * Bytes belong to the attempt whose connection they came on. An attempt that was given up has its
 * connection destroyed and nobody reads it any more, so what a slow or woken engine still sends
 * goes nowhere, whatever time it arrives.
 */
import type { EngineTarget, FinishReason } from '@sequoiarill/types';
import * as Undici from 'undici';

import type { EngineEvent } from './answer';
import * as EngineEvents from './engineEvents';
import type { EnginePool } from './enginePools';
import * as ServerSentEvents from './serverSentEvents';
import * as StallTimers from './stallTimer';

/** How an engine was lost under an attempt. */
export type LossCause = 'refused' | 'reset' | 'endedEarly' | 'noFirstToken' | 'stalled' | 'broken';

export interface AttemptFinished {
  readonly kind: 'finished';
  readonly finishReason: FinishReason;
}

export interface AttemptLost {
  readonly kind: 'lost';
  readonly cause: LossCause;
  readonly message: string;
  /** False only if no byte of the request can have reached the engine. */
  readonly mayHaveRun: boolean;
}

/** The engine took nothing on. */
export interface AttemptBusy {
  readonly kind: 'busy';
  readonly retryAfterSeconds: number;
}

export interface AttemptRejected {
  readonly kind: 'rejected';
  readonly message: string;
  readonly parameter?: string;
}

export interface AttemptCancelled {
  readonly kind: 'cancelled';
}

export type AttemptEnd =
  AttemptFinished | AttemptLost | AttemptBusy | AttemptRejected | AttemptCancelled;

/** How long the engine may keep the relay waiting, in milliseconds. */
export interface AttemptLimits {
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

export interface AttemptOptions {
  readonly target: EngineTarget;
  readonly pool: EnginePool;
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly requestId: string;
  /** Rises with each attempt of the request; engines that check refuse an older one. */
  readonly fencingNumber: number;
  readonly limits: AttemptLimits;
  readonly signal: AbortSignal;
  readonly getNowMs: () => number;
  /** When the attempt was dispatched, on that clock. */
  readonly startedMs: number;
  /** Milliseconds from the dispatch. */
  readonly onFirstToken: (ms: number) => void;
  /** Milliseconds that the relay waited for the next tokens. */
  readonly onGap: (ms: number) => void;
}

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;
/**
 * Answers that mean nothing was taken on: no such model any more, an old fencing number, a limit,
 * or no room. Another engine may still take the request.
 */
const NOT_TAKEN = new Set([404, 409, 429, 503]);
const MAX_ERROR_BYTES = 65_536;
const DEFAULT_RETRY_SECONDS = 1;
/** Errors that come before any byte of the request was written. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

type Response = Undici.Dispatcher.ResponseData;

/** What the relay has seen of one attempt; read when its stream breaks. */
interface AttemptState {
  isSent: boolean;
  isStalled: boolean;
  hasTokens: boolean;
  finishReason: FinishReason | undefined;
}

/** Yields the events of each read together; what ended the attempt is the return value. */
export async function* runAttempt(
  options: AttemptOptions,
): AsyncGenerator<readonly EngineEvent[], AttemptEnd, void> {
  if (options.signal.aborted) return { kind: 'cancelled' };
  const controller = new AbortController();
  const cancel = () => controller.abort();
  options.signal.addEventListener('abort', cancel, { once: true });
  const state: AttemptState = {
    isSent: false,
    isStalled: false,
    hasTokens: false,
    finishReason: undefined,
  };
  const timer = StallTimers.createStallTimer(options.getNowMs, () => {
    state.isStalled = true;
    controller.abort();
  });
  try {
    timer.start(options.limits.firstTokenMs);
    const response = await sendRequest(options, controller.signal);
    state.isSent = true;
    if (response.statusCode !== HTTP_OK) return await readRefusal(response);
    return yield* relayBody(response, options, state, timer);
  } catch (error) {
    return decideEnd(error as NodeJS.ErrnoException, options, state);
  } finally {
    timer.close();
    options.signal.removeEventListener('abort', cancel);
    // Ends the read of an attempt that was given up; after a whole answer it does nothing.
    controller.abort();
  }
}

async function* relayBody(
  response: Response,
  options: AttemptOptions,
  state: AttemptState,
  timer: StallTimers.StallTimer,
): AsyncGenerator<readonly EngineEvent[], AttemptEnd, void> {
  const { limits, getNowMs, startedMs } = options;
  const splitter = ServerSentEvents.createEventSplitter();
  let waitingSinceMs = getNowMs();
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    timer.stop();
    const events = parseEvents(splitter.addBytes(bytes));
    if (events === undefined) return createLoss('broken', 'an event is malformed', true);
    if (state.hasTokens) options.onGap(getNowMs() - waitingSinceMs);
    updateState(state, events, () => options.onFirstToken(getNowMs() - startedMs));
    yield events;
    // Reading goes on to the end of the body, so that its connection serves the next request.
    waitingSinceMs = getNowMs();
    timer.start(state.hasTokens ? limits.gapMs : limits.firstTokenMs);
  }
  if (state.finishReason !== undefined) return createFinished(state.finishReason);
  return createLoss('endedEarly', 'the stream ended before the answer', true);
}

function parseEvents(datas: readonly string[] | undefined): readonly EngineEvent[] | undefined {
  if (datas === undefined) return undefined;
  const events: EngineEvent[] = [];
  for (const data of datas) {
    if (data === EngineEvents.STREAM_END) break;
    const event = EngineEvents.parseEngineEvent(data);
    if (event === undefined) return undefined;
    events.push(event);
  }
  return events;
}

function updateState(
  state: AttemptState,
  events: readonly EngineEvent[],
  onFirstToken: () => void,
): void {
  for (const event of events) {
    if (event.tokenIds.length > 0 && !state.hasTokens) {
      state.hasTokens = true;
      onFirstToken();
    }
    if (event.finishReason !== undefined) state.finishReason = event.finishReason;
  }
}

function decideEnd(
  error: NodeJS.ErrnoException,
  options: AttemptOptions,
  state: AttemptState,
): AttemptEnd {
  // The event with the finish reason follows the last token: the answer is whole.
  if (state.finishReason !== undefined) return createFinished(state.finishReason);
  if (options.signal.aborted) return { kind: 'cancelled' };
  if (state.isStalled) return createStall(options.limits, state.hasTokens);
  return createConnectionLoss(error, state.isSent);
}

function createFinished(finishReason: FinishReason): AttemptFinished {
  return { kind: 'finished', finishReason };
}

async function sendRequest(options: AttemptOptions, signal: AbortSignal): Promise<Response> {
  return options.pool.dispatcher.request({
    origin: options.pool.origin,
    path: options.path,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-id': options.requestId,
      'x-fencing-number': String(options.fencingNumber),
    },
    body: JSON.stringify(options.body),
    signal,
  });
}

/** An answer other than 200: the engine did not take the request on. */
async function readRefusal(response: Response): Promise<AttemptEnd> {
  const text = await readLimited(response);
  const { statusCode } = response;
  if (NOT_TAKEN.has(statusCode)) {
    const seconds = Number(response.headers['retry-after'] ?? DEFAULT_RETRY_SECONDS);
    return { kind: 'busy', retryAfterSeconds: seconds > 0 ? seconds : DEFAULT_RETRY_SECONDS };
  }
  if (statusCode >= HTTP_SERVER_ERROR) {
    return createLoss('broken', `the engine answered ${statusCode}`, true);
  }
  return { kind: 'rejected', ...parseError(text) };
}

async function readLimited(response: Response): Promise<string> {
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    size += bytes.length;
    if (size > MAX_ERROR_BYTES) break;
    parts.push(bytes);
  }
  return Buffer.concat(parts).toString('utf8');
}

function parseError(text: string): { readonly message: string; readonly parameter?: string } {
  try {
    const { error } = JSON.parse(text) as { error?: { message?: string; param?: string | null } };
    const message = error?.message ?? 'the engine refused the request';
    return error?.param ? { message, parameter: error.param } : { message };
  } catch {
    return { message: 'the engine refused the request' };
  }
}

function createLoss(cause: LossCause, message: string, mayHaveRun: boolean): AttemptLost {
  return { kind: 'lost', cause, message, mayHaveRun };
}

function createStall(limits: AttemptLimits, hasTokens: boolean): AttemptLost {
  return hasTokens
    ? createLoss('stalled', `no token for ${Math.round(limits.gapMs)} ms`, true)
    : createLoss('noFirstToken', `no first token in ${Math.round(limits.firstTokenMs)} ms`, true);
}

/**
 * Errors of the connect itself come before undici writes a byte, so the engine cannot have the
 * request; after any other error it may have it.
 */
function createConnectionLoss(error: NodeJS.ErrnoException, isSent: boolean): AttemptLost {
  const isUnsent = !isSent && error.code !== undefined && UNSENT_CODES.has(error.code);
  return isUnsent
    ? createLoss('refused', error.message, false)
    : createLoss('reset', error.message, true);
}
