/**
 * Runs one attempt of a request on one engine, from its dispatch to its last byte.
 *
 * Bytes belong to the attempt whose connection they arrive on. Abandoning an attempt destroys its
 * connection, so output that a slow engine, or one that resumed after a pause, still sends is
 * discarded whenever it arrives.
 */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, EngineTarget, FinishReason } from '@sequoiarill/types';
import * as Undici from 'undici';

import type { EngineEvent } from './answer';
import * as AttemptResults from './attemptResults';
import type { AttemptResult, AttemptLimits } from './attemptResults';
import * as EngineEvents from './engineEvents';
import type { EnginePool } from './enginePools';
import * as ServerSentEvents from './serverSentEvents';
import * as StallTimers from './stallTimer';

export interface AttemptOptions {
  readonly target: EngineTarget;
  readonly pool: EnginePool;
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly requestId: string;
  /** Increases with each attempt of the request; engines with a fencing check refuse lower ones. */
  readonly fencingNumber: number;
  readonly limits: AttemptLimits;
  readonly signal: AbortSignal;
  readonly getRunningMs: Clock['getRunningMs'];
  /** When the attempt was dispatched, in running time. */
  readonly startedMs: number;
  /** `ms`: time since the dispatch. */
  readonly onFirstToken: (ms: number) => void;
  /** `ms`: time for which the relay waited for the next tokens. */
  readonly onGap: (ms: number) => void;
  readonly openSilence: () => AttemptSilence;
}

/** What the relay does while the engine is silent for longer than its limit. */
export interface AttemptSilence {
  /**
   * Looks for another engine that can go on; returns whether the attempt may be given up for it.
   */
  readonly canGiveUp: () => Promise<boolean>;
  /** Called right before the attempt is given up; false if it must be kept after all. */
  readonly takeOver: () => boolean;
}

const HTTP_OK = 200;
/** Longest time for the body of a refusal, also while it arrives. */
const REFUSAL_TIMEOUT_MS = 1_000;
/** Bytes without a token after which an engine counts as broken; an event may have as many characters. */
const MAX_BYTES_WITHOUT_TOKENS = 4_194_304;
/** Interval at which a silent attempt looks for an engine that can go on. */
const SEARCH_INTERVAL_MS = 100;
type Response = Undici.Dispatcher.ResponseData;

/** Progress of one attempt; determines the result when its stream breaks. */
interface AttemptState {
  isSent: boolean;
  isStalled: boolean;
  /** Set while the engine is silent for longer than its limit. */
  silence: AttemptSilence | undefined;
  waitingSinceMs: number;
  /** Time waited for the next tokens before `waitingSinceMs`, while bytes without tokens came. */
  waitedMs: number;
  bytesWithoutTokens: number;
  /** Whether the engine exceeded its limit; such a time would extend the limits if it were recorded. */
  isLate: boolean;
  hasTokens: boolean;
  finishReason: FinishReason | undefined;
}

/** Yields the events of each read as one batch and returns how the attempt ended. */
export async function* runAttempt(
  options: AttemptOptions,
): AsyncGenerator<readonly EngineEvent[], AttemptResult, void> {
  if (options.signal.aborted) return { kind: 'cancelled' };
  const controller = new AbortController();
  const cancel = () => controller.abort();
  options.signal.addEventListener('abort', cancel, { once: true });
  const state: AttemptState = {
    isSent: false,
    isStalled: false,
    silence: undefined,
    waitingSinceMs: options.getRunningMs(),
    waitedMs: 0,
    bytesWithoutTokens: 0,
    isLate: false,
    hasTokens: false,
    finishReason: undefined,
  };
  const timer = StallTimers.createStallTimer(options.getRunningMs, () => {
    handleSilence(options, state, timer, controller).catch((error) => controller.abort(error));
  });
  try {
    timer.start(options.limits.firstTokenMs);
    const response = await sendRequest(options, controller);
    state.isSent = true;
    if (response.statusCode !== HTTP_OK) return await readRefusal(response, options, controller);
    return yield* relayBody(response, options, state, timer);
  } catch (error) {
    return decideResult(error as NodeJS.ErrnoException, options, state);
  } finally {
    timer.close();
    state.silence = undefined;
    options.signal.removeEventListener('abort', cancel);
    // Aborts an abandoned attempt; has no effect once the response is complete.
    controller.abort();
  }
}

async function readRefusal(
  response: Response,
  { getRunningMs }: AttemptOptions,
  controller: AbortController,
): Promise<AttemptResult> {
  const abort = () => controller.abort();
  const stopTimer = Kernel.startRunningTimer(getRunningMs, REFUSAL_TIMEOUT_MS, abort);
  try {
    return await AttemptResults.readRefusal(response);
  } finally {
    stopTimer();
  }
}

/** Gives the attempt up if another engine can go on; otherwise keeps it and looks again. */
async function handleSilence(
  options: AttemptOptions,
  state: AttemptState,
  timer: StallTimers.StallTimer,
  controller: AbortController,
): Promise<void> {
  // The answer is complete, and what follows it does not end.
  if (state.finishReason !== undefined) {
    controller.abort();
    return;
  }
  state.silence ??= options.openSilence();
  state.isLate = true;
  const { silence } = state;
  const canGiveUp = await silence.canGiveUp();
  // Reads what the engine has sent in the meantime, which ends the silence.
  await new Promise<void>(Kernel.runAfterPendingReads);
  if (state.silence !== silence) return;
  if (canGiveUp && silence.takeOver()) {
    state.isStalled = true;
    controller.abort();
  } else timer.start(SEARCH_INTERVAL_MS);
}

async function* relayBody(
  response: Response,
  options: AttemptOptions,
  state: AttemptState,
  timer: StallTimers.StallTimer,
): AsyncGenerator<readonly EngineEvent[], AttemptResult, void> {
  const { limits, getRunningMs, startedMs } = options;
  const splitter = ServerSentEvents.createEventSplitter();
  state.waitingSinceMs = getRunningMs();
  state.waitedMs = state.waitingSinceMs - startedMs;
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    const events = parseEvents(splitter.addBytes(bytes));
    if (events === undefined) {
      return AttemptResults.createLoss('broken', 'an event is malformed', true);
    }
    recordRead(options, state, events, bytes.length);
    if (state.bytesWithoutTokens > MAX_BYTES_WITHOUT_TOKENS) {
      return AttemptResults.createLoss('broken', 'its bytes carry no tokens', true);
    }
    // A search for another engine goes on while bytes come that carry no tokens.
    const isTimed = state.silence === undefined;
    if (isTimed) timer.stop();
    if (events.length > 0) yield events;
    // The body is read to its end, so that the connection can be reused for the next request.
    state.waitingSinceMs = getRunningMs();
    const limitMs = state.hasTokens ? limits.gapMs : limits.firstTokenMs;
    if (isTimed) timer.start(Math.max(0, limitMs - state.waitedMs));
  }
  if (state.finishReason !== undefined) return AttemptResults.createFinished(state.finishReason);
  return AttemptResults.createLoss('endedEarly', 'the stream ended before the answer', true);
}

/** Whether the event is a part of the answer; others, and comments, must not pass for life. */
function isProgress({ tokenIds, text, finishReason }: EngineEvent): boolean {
  return tokenIds.length > 0 || text !== '' || finishReason !== undefined;
}

function recordRead(
  { getRunningMs, startedMs, onFirstToken, onGap }: AttemptOptions,
  state: AttemptState,
  events: readonly EngineEvent[],
  bytes: number,
): void {
  state.waitedMs += getRunningMs() - state.waitingSinceMs;
  if (!events.some(isProgress)) {
    state.bytesWithoutTokens += bytes;
    return;
  }
  state.silence = undefined;
  if (state.hasTokens && !state.isLate) onGap(state.waitedMs);
  updateState(state, events, () => {
    if (!state.isLate) onFirstToken(getRunningMs() - startedMs);
  });
  if (state.hasTokens) state.isLate = false;
  state.bytesWithoutTokens = 0;
  state.waitedMs = 0;
}

function parseEvents(eventData: readonly string[] | undefined): readonly EngineEvent[] | undefined {
  if (eventData === undefined) return undefined;
  const events: EngineEvent[] = [];
  for (const data of eventData) {
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

function decideResult(
  error: NodeJS.ErrnoException,
  options: AttemptOptions,
  state: AttemptState,
): AttemptResult {
  // The finish reason follows the last token, so the answer is complete despite the error.
  if (state.finishReason !== undefined) return AttemptResults.createFinished(state.finishReason);
  if (options.signal.aborted) return { kind: 'cancelled' };
  if (state.isStalled) {
    const silentMs = state.waitedMs + options.getRunningMs() - state.waitingSinceMs;
    return AttemptResults.createStallLoss(silentMs, state.hasTokens);
  }
  return AttemptResults.createConnectionLoss(error, state.isSent);
}

async function sendRequest(
  options: AttemptOptions,
  controller: AbortController,
): Promise<Response> {
  return options.pool.dispatcher.request({
    origin: options.pool.origin,
    path: options.path,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      [Kernel.REQUEST_ID_HEADER]: options.requestId,
      'x-fencing-number': String(options.fencingNumber),
    },
    body: JSON.stringify(options.body),
    signal: controller.signal,
    onInfo: Kernel.createInterimLimit((error) => controller.abort(error)),
  });
}
