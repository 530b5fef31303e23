/**
 * Admits requests to one target so that it never has to turn one away.
 *
 * Load pattern: a target falls over when it rejects more than a few requests a second, and hundreds of routers
 * send to it without seeing each other's requests. So one router sends to it, no more at a time than it has
 * slots; what is above waits here, in the order of urgency, or is refused while it could still be served
 * elsewhere.
 */

export interface SlotRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Longest useful wait, milliseconds. */
  readonly maxWaitMs: number;
}

export type SlotOutcome =
  { readonly kind: 'admitted' } | { readonly kind: 'refused'; readonly retryAfterMs: number };

export interface SlotGate {
  /** Resolves when the request may be sent, or will not be in time; `signal` gives its place up. */
  readonly acquire: (request: SlotRequest, signal: AbortSignal) => Promise<SlotOutcome>;
  /** The request has ended at the target; `tookMs` is undefined where it was not run. */
  readonly release: (tookMs: number | undefined) => void;
  /** The target has turned a request away: fewer are sent at a time, and slowly more again. */
  readonly recordRejection: () => void;
  readonly getRoom: () => number;
  readonly computeWaitMs: () => number;
}

export interface SlotGateOptions {
  /** Requests that the target runs at a time. */
  readonly slots: number;
  readonly getNowMs: () => number;
  readonly waitMs: (ms: number, signal: AbortSignal) => Promise<void>;
}

/** Time without a rejection after which one more request is sent at a time. */
const RAISE_INTERVAL_MS = 5_000;
/** Weight of a new duration in the mean. */
const DURATION_WEIGHT = 0.1;
/** Until the first request has ended. */
const ASSUMED_DURATION_MS = 50;

interface Waiter extends SlotRequest {
  readonly admit: () => void;
}

export function createSlotGate({ slots, getNowMs, waitMs }: SlotGateOptions): SlotGate {
  const waiters: Waiter[] = [];
  let inFlight = 0;
  let rejections = 0;
  let rejectedAtMs = Number.NEGATIVE_INFINITY;
  let meanDurationMs = ASSUMED_DURATION_MS;

  function getRoom(): number {
    const raises = Math.floor((getNowMs() - rejectedAtMs) / RAISE_INTERVAL_MS);
    return Math.max(1, slots - Math.max(0, rejections - raises));
  }

  function computeWaitMs(ahead = waiters.length): number {
    const excess = inFlight + ahead + 1 - getRoom();
    return excess <= 0 ? 0 : (excess / getRoom()) * meanDurationMs;
  }

  function admitNext(): void {
    while (inFlight < getRoom()) {
      const next = waiters.shift();
      if (next === undefined) return;
      inFlight += 1;
      next.admit();
    }
  }

  return {
    async acquire(request, signal) {
      if (signal.aborted) return { kind: 'refused', retryAfterMs: 0 };
      const index = waiters.findIndex(({ priority }) => priority > request.priority);
      const place = index < 0 ? waiters.length : index;
      const expectedMs = computeWaitMs(place);
      if (expectedMs > request.maxWaitMs) return { kind: 'refused', retryAfterMs: expectedMs };
      if (inFlight < getRoom() && place === 0) {
        inFlight += 1;
        return { kind: 'admitted' };
      }
      const waiting = new AbortController();
      const stopWait = () => waiting.abort();
      let isAdmitted = false;
      const waiter: Waiter = {
        ...request,
        admit() {
          isAdmitted = true;
          stopWait();
        },
      };
      waiters.splice(place, 0, waiter);
      signal.addEventListener('abort', stopWait, { once: true });
      await waitMs(request.maxWaitMs, waiting.signal);
      signal.removeEventListener('abort', stopWait);
      if (isAdmitted) return { kind: 'admitted' };
      waiters.splice(waiters.indexOf(waiter), 1);
      return { kind: 'refused', retryAfterMs: computeWaitMs() };
    },
    release(tookMs) {
      inFlight = Math.max(0, inFlight - 1);
      if (tookMs !== undefined) meanDurationMs += (tookMs - meanDurationMs) * DURATION_WEIGHT;
      admitNext();
    },
    recordRejection() {
      const raises = Math.floor((getNowMs() - rejectedAtMs) / RAISE_INTERVAL_MS);
      rejections = Math.min(slots - 1, Math.max(0, rejections - raises) + 1);
      rejectedAtMs = getNowMs();
    },
    getRoom,
    computeWaitMs: () => computeWaitMs(),
  };
}
