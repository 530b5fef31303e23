/** Sends one order to one target, once, and tells whether a byte of it may have left. */
import type { OrderDone, OrderRequest } from '@sequoiarill/types';
import { errors as Errors, Pool } from 'undici';
import type { Dispatcher } from 'undici';

/** The service answered. */
export interface SendingAnswered {
  readonly kind: 'answered';
  readonly answer: OrderDone;
}

/** No byte left for the target. */
export interface SendingNotSent {
  readonly kind: 'notSent';
  /** Whether the target took no connection, as against an order that no target could be sent. */
  readonly isTargetFault: boolean;
  readonly message: string;
}

/** Bytes may have reached the target and no whole answer came. */
export interface SendingUnanswered {
  readonly kind: 'unanswered';
  readonly message: string;
}

export type SendingResult = SendingAnswered | SendingNotSent | SendingUnanswered;

/** Sends to the target at `address`; ends the exchange when the signal is aborted. */
export type SendOrder = (
  address: string,
  order: OrderRequest,
  signal: AbortSignal,
) => Promise<SendingResult>;

export interface OrderSender {
  readonly sendOrder: SendOrder;
  /** Closes pools of targets that are no longer in the configuration. */
  readonly removePools: (addresses: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
}

export interface OrderSenderOptions {
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
  readonly maxInFlightPerTarget: number;
}

/**
 * A target that closes an idle connection while an order is being written to it resets the order,
 * which then counts as possibly run. Closing first, after a shorter time than services commonly
 * use (5 s and more), keeps that rare. A `Keep-Alive` header of the service is honoured, less the
 * margin that undici takes off.
 */
const IDLE_MS = 1_000;
const FIRST_FINAL_STATUS = 200;

export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const pools = new Map<string, Pool>();

  function getPool(address: string): Pool {
    const known = pools.get(address);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${address}`, {
      connections: options.maxInFlightPerTarget,
      // One request at a time on a connection: undici writes pipelined ones again by itself.
      pipelining: 1,
      connect: { timeout: options.connectTimeoutMs },
      keepAliveTimeout: IDLE_MS,
      // The deadline of the order ends the exchange.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(address, pool);
    return pool;
  }

  return {
    sendOrder: (address, order, signal) =>
      sendOnce(getPool(address), order, signal, options.maxAnswerBytes),
    removePools(addresses) {
      for (const [address, pool] of pools) {
        if (!addresses.has(address)) {
          pools.delete(address);
          // Lets the orders in progress end.
          pool.close().catch(() => undefined);
        }
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
      pools.clear();
    },
  };
}

/**
 * Why `notSent` holds: undici calls `onRequestStart` on a connected socket, synchronously right
 * before it writes the first byte of the request, and on no other path. An error without that call
 * (connection refused, connect timeout, pool closed) therefore comes before any byte. An error
 * after it counts as sent, also if the bytes never left the socket's buffer, which nobody can tell.
 *
 * A second `onRequestStart` would mean that undici writes the request again by itself after a
 * connection broke; the order is aborted before those bytes, since it may already run.
 */
async function sendOnce(
  pool: Dispatcher,
  order: OrderRequest,
  signal: AbortSignal,
  maxAnswerBytes: number,
): Promise<SendingResult> {
  return new Promise((resolve) => {
    let hasStarted = false;
    let abort: ((reason: Error) => void) | undefined;
    let status = 0;
    let headers: OrderDone['headers'] = {};
    let bytes = 0;
    const chunks: Buffer[] = [];

    function handleResult(result: SendingResult): void {
      signal.removeEventListener('abort', handleAborted);
      resolve(result);
    }
    function fail(message: string, isTargetFault: boolean): void {
      if (hasStarted) handleResult({ kind: 'unanswered', message });
      else handleResult({ kind: 'notSent', message, isTargetFault });
    }
    function handleAborted(): void {
      // Before the request starts there is nothing to abort; `onRequestStart` then refuses it.
      fail('no answer in time', false);
      abort?.(new Error('no answer in time'));
    }
    if (signal.aborted) {
      fail('it was given up before it was sent', false);
      return;
    }
    signal.addEventListener('abort', handleAborted, { once: true });
    pool.dispatch(
      {
        method: order.method,
        path: order.path,
        headers: { ...order.headers, 'x-request-id': order.requestId },
        body: order.body.length === 0 ? null : Buffer.from(order.body),
      },
      {
        onRequestStart(controller) {
          if (hasStarted || signal.aborted) {
            controller.abort(new Error('not written a second time or after its deadline'));
            return;
          }
          hasStarted = true;
          abort = (reason) => controller.abort(reason);
        },
        onResponseStart(_controller, statusCode, answerHeaders) {
          if (statusCode < FIRST_FINAL_STATUS) return;
          status = statusCode;
          headers = mergeHeaders(answerHeaders);
        },
        onResponseData(controller, chunk) {
          bytes += chunk.length;
          if (bytes <= maxAnswerBytes) chunks.push(chunk);
          else controller.abort(new Error(`its answer is over ${maxAnswerBytes} bytes`));
        },
        onResponseEnd() {
          const answer: OrderDone = { kind: 'done', status, headers, body: Buffer.concat(chunks) };
          handleResult({ kind: 'answered', answer });
        },
        onResponseError(_controller, error) {
          // One caller's malformed order must not make targets look dead to the others.
          const isOrderFault = error instanceof Errors.InvalidArgumentError;
          fail(error.message, !isOrderFault && !signal.aborted);
        },
      },
    );
  });
}

function mergeHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): OrderDone['headers'] {
  const merged: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) merged[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return merged;
}
