/**
 * The streams of one service that wait in this router for room at an engine.
 *
 * Load pattern: more streams arrive than engines can run. A single check followed by a refusal lets in those that
 * arrive just after a run has ended, whatever their urgency, and leaves slots empty between two arrivals. Streams
 * therefore wait for a bounded time, the most urgent ones first, and are refused at once only where the line
 * leaves them no chance.
 */
import * as StartRates from './startRate';

export interface WaiterQuery {
  /** See `computeRank`. */
  readonly rank: number;
  /** The caller was refused before; its answer is late already. */
  readonly isReturning: boolean;
  readonly maxWaitMs: number;
}

export interface Waiter {
  readonly rank: number;
  readonly isReturning: boolean;
  readonly arrivedAtMs: number;
  /** Time by which it is served or refused. */
  readonly deadlineMs: number;
}

export type WaitingOutcome =
  | { readonly kind: 'waits'; readonly waiter: Waiter }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

export interface RankSummary {
  readonly rank: number;
  readonly waiting: number;
  readonly returning: number;
  readonly longestWaitMs: number;
}

export interface WaitingLineOptions {
  readonly getNowMs: () => number;
}

export interface WaitingLine {
  /** Refuses a stream that the line leaves no chance within its longest wait. */
  readonly add: (query: WaiterQuery) => WaitingOutcome;
  /** Removes a stream that starts, is refused or has no caller any more; false if it does not wait. */
  readonly remove: (waiter: Waiter) => boolean;
  readonly setRank: (waiter: Waiter, rank: number) => void;
  /** Whether the stream is among the first few, which may ask engines for room now. */
  readonly isAskAllowed: (waiter: Waiter) => boolean;
  /** Streams before it; undefined if it does not wait. */
  readonly getPlace: (waiter: Waiter) => number | undefined;
  /**
   * Expected time until the streams before a place have started; infinite where none start. With a rank, streams
   * of that rank count as started only at the rate that more urgent streams leave to them.
   */
  readonly getExpectedWaitMs: (place: number, rank?: number) => number;
  /** Time until a stream that comes back is expected to find the line short enough for it. */
  readonly getRetryAfterMs: (query: WaiterQuery) => number;
  /** A stream of this router has started at an engine, whether it waited or not. */
  readonly recordStart: (rank?: number) => void;
  readonly count: () => number;
  /** By rank, for the state dump. */
  readonly listRanks: () => readonly RankSummary[];
}

/** A service's streams that ask engines at the same time; each asks several. */
const MAX_ASKING = 4;
/** Bounds the memory; at waits of seconds it is beyond what one router's streams start. */
const MAX_WAITERS = 4_000;
/** Places that only the ranks of the most urgent level may take. */
const RESERVED_PLACES = 1_000;
const MAX_RESERVED_RANK = 1;
/**
 * A stream is refused at once if its expected wait is this multiple of its longest wait. The rate of starts is known
 * from a few of them, and a refusal that was not needed costs more than a wait in vain.
 */
const MAX_EXPECTED_RATIO = 2;
const MIN_RETRY_AFTER_MS = 500;
const MAX_TIME_LEFT_SHARE = 1 / 3;
/** Assumed where nothing starts, so that the line is not expected to become shorter. */
const MAX_RETRY_AFTER_MS = 30_000;

interface Entry extends Waiter {
  rank: number;
  sequence: number;
  isWaiting: boolean;
}

function compareEntries(left: Entry, right: Entry): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.isReturning !== right.isReturning) return left.isReturning ? 1 : -1;
  return left.sequence - right.sequence;
}

/** Bounds a time to come back: neither a retry storm nor later than the caller would accept. */
export function computeRetryAfterMs(expectedMs: number, callerLeftMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedMs, callerLeftMs * MAX_TIME_LEFT_SHARE));
}

export function createWaitingLine({ getNowMs }: WaitingLineOptions): WaitingLine {
  const entries: Entry[] = [];
  const startRate = StartRates.createStartRate();
  let nextSequence = 0;

  /** Index at which the entry is, or would be inserted. */
  function findIndex(entry: Entry): number {
    let low = 0;
    let high = entries.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = entries[middle];
      if (other !== undefined && compareEntries(other, entry) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function addEntry(entry: Entry): void {
    entries.splice(findIndex(entry), 0, entry);
    startRate.setWaiting(true, getNowMs());
  }

  function takeEntry(entry: Entry): void {
    entries.splice(findIndex(entry), 1);
    if (entries.length === 0) startRate.setWaiting(false, getNowMs());
  }

  /** Index of the first waiter of the rank, or of the first less urgent one. */
  function countBefore(rank: number): number {
    const first = { ...createEntry({ rank, isReturning: false, maxWaitMs: 0 }), sequence: -1 };
    return findIndex(first);
  }

  function getExpectedWaitMs(place: number, rank = 0): number {
    const nowMs = getNowMs();
    const ofRank = place - countBefore(rank);
    const totalMs = place <= 0 ? 0 : place / startRate.getPerMs(nowMs);
    return Math.max(totalMs, ofRank <= 0 ? 0 : ofRank / startRate.getPerMs(nowMs, rank));
  }

  function createEntry({ rank, isReturning, maxWaitMs }: WaiterQuery): Entry {
    const arrivedAtMs = getNowMs();
    const deadlineMs = arrivedAtMs + Math.max(0, maxWaitMs);
    const sequence = nextSequence;
    return { rank, isReturning, arrivedAtMs, deadlineMs, sequence, isWaiting: true };
  }

  function computeExcessMs(entry: Entry): number {
    const maxWaitMs = entry.deadlineMs - entry.arrivedAtMs;
    const expectedMs = getExpectedWaitMs(findIndex(entry), entry.rank);
    if (expectedMs <= maxWaitMs * MAX_EXPECTED_RATIO) return 0;
    return Math.min(MAX_RETRY_AFTER_MS, expectedMs - maxWaitMs);
  }

  return {
    add(query) {
      const entry = createEntry(query);
      const isReserved = query.rank <= MAX_RESERVED_RANK;
      const isFull = entries.length >= MAX_WAITERS - (isReserved ? 0 : RESERVED_PLACES);
      const excessMs = computeExcessMs(entry);
      if (isFull || excessMs > 0) {
        return { kind: 'refused', retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, excessMs) };
      }
      nextSequence += 1;
      addEntry(entry);
      return { kind: 'waits', waiter: entry };
    },
    remove(waiter) {
      const entry = waiter as Entry;
      if (!entry.isWaiting) return false;
      entry.isWaiting = false;
      takeEntry(entry);
      return true;
    },
    setRank(waiter, rank) {
      const entry = waiter as Entry;
      if (!entry.isWaiting || entry.rank === rank) return;
      takeEntry(entry);
      entry.rank = rank;
      addEntry(entry);
    },
    isAskAllowed(waiter) {
      const entry = waiter as Entry;
      return entry.isWaiting && findIndex(entry) < MAX_ASKING;
    },
    getPlace(waiter) {
      const entry = waiter as Entry;
      return entry.isWaiting ? findIndex(entry) : undefined;
    },
    getExpectedWaitMs,
    getRetryAfterMs(query) {
      return Math.max(MIN_RETRY_AFTER_MS, computeExcessMs(createEntry(query)));
    },
    recordStart: (rank) => startRate.recordStart(getNowMs(), rank),
    count: () => entries.length,
    listRanks() {
      const nowMs = getNowMs();
      const ranks = [...new Set(entries.map(({ rank }) => rank))];
      return ranks.map((rank) => {
        const ofRank = entries.filter((entry) => entry.rank === rank);
        const arrivals = ofRank.map(({ arrivedAtMs }) => arrivedAtMs);
        return {
          rank,
          waiting: ofRank.length,
          returning: ofRank.filter(({ isReturning }) => isReturning).length,
          longestWaitMs: nowMs - arrivals.reduce((least, value) => Math.min(least, value), nowMs),
        };
      });
    },
  };
}
