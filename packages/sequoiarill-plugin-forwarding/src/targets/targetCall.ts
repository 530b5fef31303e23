/** One HTTP exchange with one target, as a queue of events that a single task reads. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';
import type * as Undici from 'undici';

import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { HeldExchange } from '../front/heldExchange';
import type { TargetConnection } from './targetConnections';

export interface CallOptions {
  readonly connection: TargetConnection;
  readonly target: Pick<ForwardingTarget, 'address'>;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
  /** Called with the head of each answer, even if the call was cancelled before. */
  readonly recordHead: (head: AnswerHead) => void;
  /** Called at once; the function that it returns, when the call has ended or was cancelled, perhaps twice. */
  readonly recordStart?: () => () => void;
  /** Counts what is buffered for the caller, and tells whether more may be; undefined for other calls. */
  readonly held?: Pick<HeldExchange, 'addAnswerBytes' | 'mayReadAhead'> | undefined;
}

export type CallEvent =
  | { readonly kind: 'head'; readonly head: AnswerHead }
  | { readonly kind: 'data'; readonly chunk: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'cancelled' };

export interface TargetCall {
  /** The next event, or `timeout` when none comes in time. Only one task may read. */
  readonly readEvent: (timeoutMs: number) => Promise<CallEvent>;
  /** Whether bytes of the request may have been sent; if not, the request has not run. */
  readonly wasSent: () => boolean;
  /** Closes the connection unless the response is complete; the target aborts the request. */
  readonly cancel: () => void;
}

/**
 * Bytes of a response that are buffered for a slow reader before reading from the connection
 * pauses.
 */
const MAX_BUFFERED_BYTES = 262_144;

/** The bodies of refusals are not read, and must not keep their connections paused. */
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

const CANCELLED: CallEvent = { kind: 'cancelled' };
const TIMEOUT: CallEvent = { kind: 'timeout' };

export function openCall(options: CallOptions): TargetCall {
  const { connection, target, method, path, headers, body, recordHead, held } = options;
  const bufferedEvents: CallEvent[] = [];
  let bufferedBytes = 0;
  let heldBytes = 0;
  let controller: Undici.Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isFramed = false;
  let isDone = false;
  let isCancelled = false;
  let notifyReader: (() => void) | undefined;

  function updateHeld(): void {
    const isPaused = !isDone && controller?.paused === true;
    const bytes = isCancelled ? 0 : bufferedBytes + (isPaused ? PAUSED_SOCKET_BYTES : 0);
    if (bytes !== heldBytes) held?.addAnswerBytes(bytes - heldBytes);
    heldBytes = bytes;
  }

  function addEvent(event: CallEvent): void {
    if (isCancelled) return;
    bufferedEvents.push(event);
    notifyReader?.();
  }

  function takeEvent(): CallEvent | undefined {
    const event = bufferedEvents.shift();
    if (event?.kind === 'data') {
      bufferedBytes -= event.chunk.length;
      if (bufferedBytes < MAX_BUFFERED_BYTES && held?.mayReadAhead() !== false) resumeReading();
      updateHeld();
    }
    return event;
  }

  function resumeReading(): void {
    if (controller?.paused === true) controller.resume();
  }

  /**
   * Failure: after a process pause, timers fire before the sockets are read, and every target looks
   * silent. So a timeout takes effect only after pending reads.
   */
  async function waitForEvent(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => Kernel.runAfterPendingReads(resolve), Math.max(0, timeoutMs));
      notifyReader = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    notifyReader = undefined;
  }

  async function readEvent(timeoutMs: number): Promise<CallEvent> {
    if (isCancelled) return CANCELLED;
    // Nothing may be read ahead, but the reader has come for more.
    if (bufferedEvents.length === 0) resumeReading();
    if (bufferedEvents.length === 0) await waitForEvent(timeoutMs);
    if (isCancelled) return CANCELLED;
    return takeEvent() ?? TIMEOUT;
  }

  function cancel(): void {
    if (isCancelled) return;
    isCancelled = true;
    recordEnd?.();
    bufferedEvents.length = 0;
    updateHeld();
    notifyReader?.();
    if (!isDone) connection.close();
  }

  const recordEnd = options.recordStart?.();
  const flatHeaders = headers.flatMap(([name, value]) => [name, value]);
  connection.dispatch(
    {
      origin: `http://${target.address}`,
      method,
      path,
      headers: flatHeaders,
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
        if (status < 200) return;
        isFramed = FRAMING_HEADERS.some((name) => responseHeaders[name] !== undefined);
        const head = { status, statusMessage: statusMessage ?? '', headers: responseHeaders };
        recordHead(head);
        addEvent({ kind: 'head', head });
      },
      onResponseData(requestController, chunk) {
        bufferedBytes += chunk.length;
        addEvent({ kind: 'data', chunk });
        const maxBytes = held?.mayReadAhead() === false ? MAX_UNREAD_BYTES : MAX_BUFFERED_BYTES;
        if (isFramed && bufferedBytes > maxBytes) requestController.pause();
        updateHeld();
      },
      onResponseEnd() {
        isDone = true;
        recordEnd?.();
        updateHeld();
        if (connection.wasReset()) addEvent({ kind: 'broken', reason: 'reset' });
        else addEvent({ kind: 'end' });
        connection.release();
      },
      onResponseError(_controller, error) {
        isDone = true;
        recordEnd?.();
        updateHeld();
        connection.close();
        const { code = '', message } = error as NodeJS.ErrnoException;
        addEvent({ kind: 'broken', reason: code === '' ? message : code });
      },
    },
  );
  return { readEvent, wasSent: () => isSent, cancel };
}
