/** Sends an order to a target once, and reports whether any byte may have reached the target. */
import * as Kernel from '@sequoiarill/kernel';
import type { OrderDone, OrderRequest } from '@sequoiarill/types';
import { errors as Errors, Pool } from 'undici';
import type { Dispatcher } from 'undici';

/** The target returned a complete answer. */
export interface AttemptAnswered {
  readonly kind: 'answered';
  readonly answer: OrderDone;
}

/** No byte was sent to the target. */
export interface AttemptNotSent {
  readonly kind: 'notSent';
  /** Whether the connection failed; `false` if the order is invalid or was cancelled. */
  readonly isTargetFault: boolean;
  readonly message: string;
}

/** Bytes may have reached the target, but no complete answer arrived. */
export interface AttemptUnanswered {
  readonly kind: 'unanswered';
  readonly message: string;
}

export type AttemptResult = AttemptAnswered | AttemptNotSent | AttemptUnanswered;

/** Sends the order to the target at `address`; cancels the request when the signal is aborted. */
export type SendOrder = (
  address: string,
  order: OrderRequest,
  signal: AbortSignal,
) => Promise<AttemptResult>;

export interface OrderSender {
  readonly sendOrder: SendOrder;
  /** Closes the connection pools of all targets whose address is not in `addresses`. */
  readonly removePools: (addresses: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
}

export interface OrderSenderOptions {
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
  readonly maxInFlightPerTarget: number;
}

/**
 * If a target closes an idle connection while an order is being written to it, the order is reset
 * and counts as possibly run. Closing idle connections earlier than services commonly do (5 s and
 * more) makes this rare. A `Keep-Alive` header of the service is followed, less the safety margin
 * that undici subtracts.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 1_000;
const MIN_FINAL_STATUS = 200;
/** Statuses from here on are undefined in HTTP. */
const STATUS_LIMIT = 600;

export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const pools = new Map<string, Pool>();

  function getPool(address: string): Pool {
    const existing = pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connections: options.maxInFlightPerTarget,
      // One request at a time per connection: undici resends pipelined requests by itself.
      pipelining: 1,
      connect: { timeout: options.connectTimeoutMs },
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      // The deadline of the order limits the request instead.
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: Kernel.openCheckedClient,
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
          // `close` lets in-flight orders finish.
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
 * `notSent` is reliable because undici calls `onRequestStart` only on a connected socket,
 * synchronously right before it writes the first byte of the request. An error without that call
 * (connection refused, connect timeout, pool closed) therefore occurs before any byte is sent.
 * After the call, an error counts as sent, even if the bytes never left the socket's buffer,
 * because that cannot be determined.
 *
 * A second `onRequestStart` would mean that undici resends the request by itself after a broken
 * connection. The order is aborted before those bytes are written, since it may already be running.
 */
async function sendOnce(
  pool: Dispatcher,
  order: OrderRequest,
  signal: AbortSignal,
  maxAnswerBytes: number,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    let hasStarted = false;
    let abort: ((reason: Error) => void) | undefined;
    let status = 0;
    let headers: OrderDone['headers'] = {};
    let receivedBytes = 0;
    const handleInterim = Kernel.createInterimLimit((error) => abort?.(error));
    const chunks: Buffer[] = [];

    function resolveResult(result: AttemptResult): void {
      signal.removeEventListener('abort', handleAborted);
      resolve(result);
    }
    function fail(message: string, isTargetFault: boolean): void {
      if (hasStarted) resolveResult({ kind: 'unanswered', message });
      else resolveResult({ kind: 'notSent', message, isTargetFault });
    }
    function handleAborted(): void {
      // A request that has not started has no controller yet; `onRequestStart` then aborts it.
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
        headers: { ...order.headers, [Kernel.REQUEST_ID_HEADER]: order.requestId },
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
        onResponseStart(controller, statusCode, responseHeaders) {
          if (statusCode < MIN_FINAL_STATUS) {
            handleInterim();
            return;
          }
          if (statusCode >= STATUS_LIMIT) {
            controller.abort(new Error(`its status is ${statusCode}`));
            return;
          }
          status = statusCode;
          headers = mergeHeaders(responseHeaders);
        },
        onResponseData(controller, chunk) {
          receivedBytes += chunk.length;
          if (receivedBytes <= maxAnswerBytes) chunks.push(chunk);
          else controller.abort(new Error(`its answer is over ${maxAnswerBytes} bytes`));
        },
        onResponseEnd() {
          const answer: OrderDone = { kind: 'done', status, headers, body: Buffer.concat(chunks) };
          resolveResult({ kind: 'answered', answer });
        },
        onResponseError(_controller, error) {
          // A malformed order of one caller must not get the target skipped for other callers.
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
