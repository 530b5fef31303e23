/** One HTTP exchange with one target as a queue of events that one task reads. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';
import type * as Undici from 'undici';

import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import type { TargetConnection } from './targetConnections';

export interface CallOptions {
  readonly connection: TargetConnection;
  readonly target: ForwardingTarget;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly RawHeader[];
  readonly body: Buffer;
}

export type CallEvent =
  | { readonly kind: 'head'; readonly head: AnswerHead }
  | { readonly kind: 'data'; readonly chunk: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'cancelled' };

export interface TargetCall {
  /** The next event, or `timeout` when none comes in time. Read by one task. */
  readonly readEvent: (timeoutMs: number) => Promise<CallEvent>;
  /** Whether bytes of the request may have left: without that it has not run. */
  readonly wasSent: () => boolean;
  /** Closes the connection, unless the answer is whole; the target drops what it does. */
  readonly cancel: () => void;
}

/** Bytes of an answer kept for a slow reader before its connection is paused. */
const MAX_WAITING_BYTES = 262_144;

/** Shortest wait after a pause of this process, milliseconds: running time may stand still for a moment. */
const MIN_REST_MS = 10;

/** Until when an event is waited for. */
export interface ReadDeadlines {
  /** In running time: a target is not silent while this process is paused. */
  readonly silenceDeadlineMs: number;
  /** The caller's deadline, monotonic milliseconds; it goes on during a pause. */
  readonly expiresAtMs: number;
}

/** The next event, or `timeout` when one of the limits is over. */
export async function readNextEvent(
  clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>,
  call: Pick<TargetCall, 'readEvent'>,
  { silenceDeadlineMs: silenceDeadlineMs, expiresAtMs }: ReadDeadlines,
): Promise<CallEvent> {
  let silenceMs = silenceDeadlineMs - clock.getRunningMs();
  for (;;) {
    const event = await call.readEvent(Math.min(silenceMs, expiresAtMs - clock.getNowMs()));
    if (event.kind !== 'timeout' || clock.getNowMs() >= expiresAtMs) return event;
    silenceMs = silenceDeadlineMs - clock.getRunningMs();
    if (silenceMs <= 0) return event;
    silenceMs = Math.max(MIN_REST_MS, silenceMs);
  }
}

const CANCELLED: CallEvent = { kind: 'cancelled' };
const TIMEOUT: CallEvent = { kind: 'timeout' };

export function openCall(options: CallOptions): TargetCall {
  const { connection, target, method, path, headers, body } = options;
  const waiting: CallEvent[] = [];
  let waitingBytes = 0;
  let controller: Undici.Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isDone = false;
  let isCancelled = false;
  let wakeReader: (() => void) | undefined;

  function addEvent(event: CallEvent): void {
    if (isCancelled) return;
    waiting.push(event);
    wakeReader?.();
  }

  function takeEvent(): CallEvent | undefined {
    const event = waiting.shift();
    if (event?.kind === 'data') {
      waitingBytes -= event.chunk.length;
      if (controller?.paused === true && waitingBytes < MAX_WAITING_BYTES) controller.resume();
    }
    return event;
  }

  /** Failure: the process was held up, its timers are due first, and every target looks silent. */
  async function waitForEvent(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => Kernel.delayPastReads(resolve), Math.max(0, timeoutMs));
      wakeReader = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    wakeReader = undefined;
  }

  async function readEvent(timeoutMs: number): Promise<CallEvent> {
    if (isCancelled) return CANCELLED;
    if (waiting.length === 0) await waitForEvent(timeoutMs);
    if (isCancelled) return CANCELLED;
    return takeEvent() ?? TIMEOUT;
  }

  function cancel(): void {
    if (isCancelled) return;
    isCancelled = true;
    wakeReader?.();
    if (!isDone) connection.close();
  }

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
      onRequestStart(started) {
        controller = started;
        isSent = true;
      },
      onResponseStart(_started, status, answered, statusMessage) {
        if (status < 200) return;
        addEvent({
          kind: 'head',
          head: { status, statusMessage: statusMessage ?? '', headers: answered },
        });
      },
      onResponseData(started, chunk) {
        waitingBytes += chunk.length;
        addEvent({ kind: 'data', chunk });
        if (waitingBytes > MAX_WAITING_BYTES) started.pause();
      },
      onResponseEnd() {
        isDone = true;
        if (connection.wasReset()) addEvent({ kind: 'broken', reason: 'reset' });
        else addEvent({ kind: 'end' });
        connection.release();
      },
      onResponseError(_started, error) {
        isDone = true;
        connection.close();
        const { code = '', message } = error as NodeJS.ErrnoException;
        addEvent({ kind: 'broken', reason: code === '' ? message : code });
      },
    },
  );
  return { readEvent, wasSent: () => isSent, cancel };
}
