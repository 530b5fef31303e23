/** What callers sent and saw, and what operators changed; times are milliseconds of one clock. */

export type RequestKind = 'stream' | 'order' | 'read';

export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly router: number;
  readonly body: string;
  /** Where the caller came back for the rest of a stream: the first event it asked for. */
  readonly fromEvent: number;
}

export type CallerView =
  /** `text` is what arrived, whole or not. */
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly text: string;
      /** It came to the end that its framing says. */
      readonly isWhole: boolean;
      /** The signature of a target was on it. */
      readonly isSigned: boolean;
    }
  /** Nothing that is an answer arrived. */
  | { readonly kind: 'noAnswer' };

/** A question about which configuration is in force. */
export interface Probe {
  readonly router: number;
  /** Counts the lives of the router's process. */
  readonly life: number;
  readonly atMs: number;
  readonly version: number;
  /** When the store acknowledged that version. */
  readonly writtenAtMs: number;
  /** The version is the newest that was written. */
  readonly isNewest: boolean;
  readonly status: number;
}

export interface Leaving {
  readonly target: string;
  readonly writtenAtMs: number;
}

/** A time in which a router or its way to the store was disturbed. */
export interface Disturbance {
  readonly router: number;
  readonly fromMs: number;
  untilMs: number;
}

export interface Ledger {
  readonly requests: Map<string, SentRequest>;
  readonly views: Map<string, CallerView>;
  readonly probes: Probe[];
  readonly leavings: Leaving[];
  readonly disturbances: Disturbance[];
}

export function createLedger(): Ledger {
  return {
    requests: new Map(),
    views: new Map(),
    probes: [],
    leavings: [],
    disturbances: [],
  };
}

/** After the end of a disturbance a router is given this long before bounds hold for it. */
const SETTLE_MS = 4_000;

/** Since when bounds hold, at a moment, for the router or for all of them; infinite while they do not. */
export function computeCalmSince({ disturbances }: Ledger, atMs: number, router?: number): number {
  const ends = disturbances
    .filter((one) => one.fromMs <= atMs && (router === undefined || one.router === router))
    .map((one) => one.untilMs + SETTLE_MS);
  return Math.max(Number.NEGATIVE_INFINITY, ...ends);
}
