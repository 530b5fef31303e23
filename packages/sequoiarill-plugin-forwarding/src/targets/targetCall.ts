/** One HTTP exchange with one target, as a queue of events that a single task reads. */
import type { Clock, ForwardingTarget } from '@sequoiarill/types';
import type * as Undici from 'undici';

import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { HeldExchange } from '../front/heldExchange';
import * as AnswerLimits from './answerLimits';
import type { RecordExcess } from './answerLimits';
import * as CallEvents from './callEvents';
import type { CallEvent } from './callEvents';
import type { TargetConnection } from './targetConnections';

export interface CallOptions {
  readonly connection: TargetConnection;
  readonly target: Pick<ForwardingTarget, 'address'>;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
  /** Called with the head of each answer to this call, even if the call was cancelled before. */
  readonly recordHead: (head: AnswerHead) => void;
  /**
   * Returns why the head belongs to another call of the connection, whose answer came late; undefined if it may be the
   * answer to this one. `isFirst`: the connection has carried no other call.
   */
  readonly findMismatch?: (head: AnswerHead, isFirst: boolean) => string | undefined;
  /** Called at once; the function that it returns, when the call has ended or was cancelled, perhaps twice. */
  readonly recordStart?: () => () => void;
  /** Called when the target has sent more in a phase than an answer has there, and the call is cut. */
  readonly recordExcess?: RecordExcess;
  /** Counts what is buffered for the caller, and tells whether more may be; undefined for other calls. */
  readonly held?: Pick<HeldExchange, 'addAnswerBytes' | 'mayReadAhead'> | undefined;
}

export type { CallEvent } from './callEvents';

export interface TargetCall {
  /**
   * The next event, or `timeout` when none comes in time. Without time left, only what has arrived is read, and little
   * more. Only one task may read.
   */
  readonly readEvent: (timeoutMs: number) => Promise<CallEvent>;
  /** Whether bytes of the request may have been sent; if not, the request has not run. */
  readonly wasSent: () => boolean;
  /** Closes the connection unless the response is complete; the target aborts the request. */
  readonly cancel: () => void;
  /** Reports that the reader gives the call up for the number of bytes in a phase. */
  readonly recordExcess: RecordExcess;
  /** As `cancel`, but reads a short rest of the body first, so that the connection can be used again. */
  readonly drain: () => void;
}

/**
 * Bytes of a response that are buffered for a slow reader before reading from the connection
 * pauses.
 */
const MAX_BUFFERED_BYTES = 262_144;

/** Bytes that are buffered while nothing may be read ahead of a slow caller. */
const MAX_UNREAD_BYTES = 4_096;
/**
 * Bytes of a paused connection: a chunk of 64 KB in its socket, and 64 KB of objects of the exchange, by which the
 * process grew for each of 300 readers. With 16 KB for these, 1,000 readers brought it to 194 MB of 186 MB.
 */
const PAUSED_SOCKET_BYTES = 131_072;

/** Shortest wait after a process pause: running time may not advance for a moment. */
const MIN_WAIT_MS = 10;

/** How long a read waits for an event. */
export interface ReadDeadlines {
  /** In running time, so that a pause of this process does not count as silence of the target. */
  readonly silenceDeadlineMs: number;
  /** The caller's deadline, in monotonic milliseconds, which include process pauses. */
  readonly expiresAtMs: number;
}

/** The next event, or `timeout` when one of the deadlines has passed. */
export async function readNextEvent(
  clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>,
  call: Pick<TargetCall, 'readEvent'>,
  { silenceDeadlineMs, expiresAtMs }: ReadDeadlines,
): Promise<CallEvent> {
  let remainingMs = silenceDeadlineMs - clock.getRunningMs();
  for (;;) {
    const event = await call.readEvent(Math.min(remainingMs, expiresAtMs - clock.getNowMs()));
    if (event.kind !== 'timeout' || clock.getNowMs() >= expiresAtMs) return event;
    remainingMs = silenceDeadlineMs - clock.getRunningMs();
    if (remainingMs <= 0) return event;
    remainingMs = Math.max(MIN_WAIT_MS, remainingMs);
  }
}

/**
 * Failure: an answer without framing ends while reading is paused, and undici throws in an event of the socket, which
 * ends the process. So such an answer is read on; its bytes count as held, and its reader is cut when they are too many.
 */
const FRAMING_HEADERS = ['content-length', 'transfer-encoding'] as const;

/** Returns why the head belongs to another call; it is recorded unless it does. */
function recordOwnHead(
  { connection, recordHead, findMismatch }: CallOptions,
  head: AnswerHead,
): string | undefined {
  const mismatch = findMismatch?.(head, !connection.wasUsed());
  if (mismatch === undefined) recordHead(head);
  return mismatch;
}

const CANCELLED: CallEvent = { kind: 'cancelled' };
const TIMEOUT: CallEvent = { kind: 'timeout' };

export function openCall(options: CallOptions): TargetCall {
  const { connection, target, method, path, headers, body, held } = options;
  const buffer = CallEvents.createEventQueue();
  let heldBytes = 0;
  let controller: Undici.Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isFramed = false;
  let isDone = false;
  let isCancelled = false;
  const phase = AnswerLimits.createHeadPhase();
  const drain = AnswerLimits.createDrain(connection.close, options.recordExcess);

  function updateHeld(): void {
    const isPaused = !isDone && controller?.paused === true;
    const bytes = isCancelled ? 0 : buffer.countBytes() + (isPaused ? PAUSED_SOCKET_BYTES : 0);
    if (bytes !== heldBytes) held?.addAnswerBytes(bytes - heldBytes);
    heldBytes = bytes;
  }

  function addEvent(event: CallEvent): void {
    if (!isCancelled) buffer.add(event);
  }

  function takeEvent(isLate: boolean): CallEvent | undefined {
    const event = buffer.take(isLate);
    if (event?.kind === 'data') {
      const isFull = buffer.countBytes() >= MAX_BUFFERED_BYTES || buffer.isCrowded();
      if (!isFull && held?.mayReadAhead() !== false) resumeReading();
      updateHeld();
    }
    return event;
  }

  function resumeReading(): void {
    if (controller?.paused === true) controller.resume();
  }

  async function readEvent(timeoutMs: number): Promise<CallEvent> {
    if (isCancelled) return CANCELLED;
    // Nothing may be read ahead, but the reader has come for more.
    if (buffer.isEmpty()) resumeReading();
    if (buffer.isEmpty()) await buffer.waitForEvent(timeoutMs);
    if (isCancelled) return CANCELLED;
    return takeEvent(timeoutMs <= 0) ?? TIMEOUT;
  }

  function stopReading(): void {
    isCancelled = true;
    recordEnd?.();
    buffer.clear();
    updateHeld();
  }

  function cancel(): void {
    if (isCancelled) return;
    stopReading();
    if (!isDone) connection.close();
  }

  function cancelExcess(bytes: number): void {
    if (isDone) return;
    options.recordExcess?.(phase.get(), bytes);
    // Also ends the parsing of what was read.
    if (controller === undefined) connection.close();
    else controller.abort(new Error(AnswerLimits.formatExcess(phase.get())));
  }

  const recordEnd = options.recordStart?.();
  connection.overhead.start(cancelExcess);
  connection.dispatch(
    {
      origin: `http://${target.address}`,
      method,
      path,
      headers: headers.flatMap(([name, value]) => [name, value]),
      body: body.length > 0 ? body : null,
    },
    {
      onRequestStart(requestController) {
        controller = requestController;
        isSent = true;
      },
      onResponseStart(requestController, status, responseHeaders, statusMessage) {
        // They refer to the whole chunk of up to 64 KB that began with them, for as long as the answer lasts.
        Object.assign(requestController, { rawHeaders: null });
        if (status < 200) {
          if (phase.recordInterim()) cancelExcess(connection.overhead.countOverhead());
          return;
        }
        phase.recordHead();
        isFramed = FRAMING_HEADERS.some((name) => responseHeaders[name] !== undefined);
        const head = { status, statusMessage: statusMessage ?? '', headers: responseHeaders };
        const mismatch = recordOwnHead(options, head);
        if (mismatch === undefined) addEvent({ kind: 'head', head });
        // Closes the connection: the answer to this call is still to come, and must not meet the next one.
        else requestController.abort(new Error(mismatch));
      },
      onResponseData(requestController, chunk) {
        connection.overhead.addBodyBytes(chunk.length);
        if (isCancelled) {
          drain.addBytes(chunk.length);
          return;
        }
        addEvent({ kind: 'data', chunk });
        const maxBytes = held?.mayReadAhead() === false ? MAX_UNREAD_BYTES : MAX_BUFFERED_BYTES;
        const isFull = buffer.countBytes() > maxBytes || buffer.isCrowded();
        if (isFramed && isFull) requestController.pause();
        updateHeld();
      },
      onResponseEnd() {
        isDone = true;
        drain.stop();
        recordEnd?.();
        updateHeld();
        if (connection.wasReset()) addEvent({ kind: 'broken', reason: 'reset' });
        else addEvent({ kind: 'end' });
        connection.release();
      },
      onResponseError(_controller, error) {
        isDone = true;
        drain.stop();
        recordEnd?.();
        updateHeld();
        connection.close();
        const { code = '', message } = error as NodeJS.ErrnoException;
        addEvent({ kind: 'broken', reason: code === '' ? message : code });
      },
    },
  );
  return {
    readEvent,
    wasSent: () => isSent,
    cancel,
    recordExcess: (...excess) => options.recordExcess?.(...excess),
    drain() {
      if (isCancelled) return;
      if (!isDone) drain.start(buffer.countBytes());
      stopReading();
      resumeReading();
    },
  };
}
