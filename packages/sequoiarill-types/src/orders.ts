/** Orders: calls to plain services, and their outcomes. */
import type { Organisation } from './configuration';

export interface OrderRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly service: string;
  readonly method: string;
  /** Path and query relative to the service, beginning with `/`. */
  readonly path: string;
  /** Header names in lower case, without hop-by-hop headers and the caller's API key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly signal: AbortSignal;
}

/** The service answered. The answer is forwarded whatever its status. */
export interface OrderDone {
  readonly kind: 'done';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** No byte of the order reached a target. */
export interface OrderNotRun {
  readonly kind: 'notRun';
  /**
   * Callers receive status 422 for `keyReused`, 409 for `inProgress`, 404 for `unknownService` and
   * 429 for `organisationLimit`.
   */
  readonly reason:
    | 'unknownService'
    | 'noTarget'
    | 'overloaded'
    | 'organisationLimit'
    | 'keyReused'
    | 'inProgress'
    | 'platformAway'
    | 'draining';
  readonly message: string;
  readonly retryAfterSeconds: number;
}

/** Bytes may have reached a target, but no answer came: the order ran once or not at all. */
export interface OrderUnknown {
  readonly kind: 'unknown';
  readonly message: string;
}

export type OrderOutcome = OrderDone | OrderNotRun | OrderUnknown;

/** Capability `orders`: runs calls to plain services. */
export interface OrderRunner {
  readonly runOrder: (order: OrderRequest) => Promise<OrderOutcome>;
}
