/**
 * One attempt of a request at one engine: from its dispatch to its last byte.
 *
 * Bytes belong to the attempt whose connection they came on. An attempt that was given up has its
 * connection destroyed and nobody reads it any more, so what a slow or woken engine still sends
 * goes nowhere, whatever time it arrives.
 */
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
  /** Rises with each attempt of the request; engines that check refuse an older one. */
  readonly fencingNumber: number;
  readonly limits: AttemptLimits;
  readonly signal: AbortSignal;
  readonly getRunningMs: Clock['getRunningMs'];
  /** When the attempt was dispatched, in running time. */
  readonly startedMs: number;
  /** Milliseconds from the dispatch. */
  readonly onFirstToken: (ms: number) => void;
  /** Milliseconds that the relay waited for the next tokens. */
  readonly onGap: (ms: number) => void;
}

const HTTP_OK = 200;
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
): AsyncGenerator<readonly EngineEvent[], AttemptResult, void> {
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
  const timer = StallTimers.createStallTimer(options.getRunningMs, () => {
    state.isStalled = true;
    controller.abort();
  });
  try {
    timer.start(options.limits.firstTokenMs);
    const response = await sendRequest(options, controller.signal);
    state.isSent = true;
    if (response.statusCode !== HTTP_OK) return await AttemptResults.readRefusal(response);
    return yield* relayBody(response, options, state, timer);
  } catch (error) {
    return decideResult(error as NodeJS.ErrnoException, options, state);
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
): AsyncGenerator<readonly EngineEvent[], AttemptResult, void> {
  const { limits, getRunningMs, startedMs } = options;
  const splitter = ServerSentEvents.createEventSplitter();
  let waitingSinceMs = getRunningMs();
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    timer.stop();
    const events = parseEvents(splitter.addBytes(bytes));
    if (events === undefined) {
      return AttemptResults.createLoss('broken', 'an event is malformed', true);
    }
    if (state.hasTokens) options.onGap(getRunningMs() - waitingSinceMs);
    updateState(state, events, () => options.onFirstToken(getRunningMs() - startedMs));
    yield events;
    // Reading goes on to the end of the body, so that its connection serves the next request.
    waitingSinceMs = getRunningMs();
    timer.start(state.hasTokens ? limits.gapMs : limits.firstTokenMs);
  }
  if (state.finishReason !== undefined) return AttemptResults.createFinished(state.finishReason);
  return AttemptResults.createLoss('endedEarly', 'the stream ended before the answer', true);
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

function decideResult(
  error: NodeJS.ErrnoException,
  options: AttemptOptions,
  state: AttemptState,
): AttemptResult {
  // The event with the finish reason follows the last token: the answer is whole.
  if (state.finishReason !== undefined) return AttemptResults.createFinished(state.finishReason);
  if (options.signal.aborted) return { kind: 'cancelled' };
  if (state.isStalled) return AttemptResults.createStallLoss(options.limits, state.hasTokens);
  return AttemptResults.createConnectionLoss(error, state.isSent);
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
