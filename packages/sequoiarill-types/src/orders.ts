/** A call to a plain service behind sequoiarill and how it ends. */
import type { Organisation } from './configuration';

export interface OrderRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly service: string;
  readonly method: string;
  /** Path and query below the service, beginning with `/`. */
  readonly path: string;
  /** Lower-case names; hop-by-hop headers and the caller's key are already removed. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly signal: AbortSignal;
}

/** The service answered; the answer is passed on whatever its status is. */
export interface OrderDone {
  readonly kind: 'done';
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** No byte of it reached a target. */
export interface OrderNotRun {
  readonly kind: 'notRun';
  /** `keyReused` is answered 422, `inProgress` 409, `unknownService` 404, `organisationLimit` 429. */
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

/** Bytes may have reached a target and no answer came: it ran once or not at all. */
export interface OrderUnknown {
  readonly kind: 'unknown';
  readonly message: string;
}

export type OrderOutcome = OrderDone | OrderNotRun | OrderUnknown;

/** Capability `orders`. */
export interface OrderRunner {
  readonly runOrder: (order: OrderRequest) => Promise<OrderOutcome>;
}
