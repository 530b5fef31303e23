/** The streams of this router that wait for room at engines: one line for each service. */
import * as Decisions from '@sequoiarill/decisions';
import type { RankSummary, Waiter, WaiterQuery, WaitingLine } from '@sequoiarill/decisions';
import type { Clock } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';

/** A stream that waits; its own task ends the wait. */
export interface WaitingStream {
  readonly waiter: Waiter;
  /** Returns when the stream is woken, and at its deadline at the latest. */
  readonly waitForWake: () => Promise<void>;
  readonly wake: () => void;
}

export type AddedStream =
  | { readonly kind: 'waits'; readonly stream: WaitingStream }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

export interface ServiceLine extends Pick<
  WaitingLine,
  'isAskAllowed' | 'setRank' | 'getPlace' | 'getRetryAfterMs' | 'recordStart' | 'count'
> {
  readonly add: (query: WaiterQuery) => AddedStream;
  readonly remove: (stream: WaitingStream) => void;
}

/** What a new stream of a rank would get now. */
export interface RankOutlook {
  readonly rank: number;
  readonly result: 'goes' | 'waits' | 'refused';
  /** Those that would wait before it. */
  readonly ahead: number;
  /** Undefined where nothing starts. */
  readonly expectedWaitMs: number | undefined;
  /** Longest wait of the last stream of the rank. */
  readonly maxWaitMs: number;
}

/** For the state dump. */
export interface LineState {
  readonly waiting: readonly RankSummary[];
  readonly outlook: readonly RankOutlook[];
}

export interface WaitingStreams {
  readonly getLine: (service: string) => ServiceLine;
  /** A run of the service has ended: its slot may be free. */
  readonly wakeFirst: (service: string) => void;
  /** The configuration has changed, or the router is about to stop. */
  readonly wakeAll: () => void;
  /** Whether the answer to the request would be complete before the process exits. */
  readonly hasTimeFor: (request: ForwardRequest) => boolean;
  readonly dumpState: () => Readonly<Record<string, LineState>>;
}

export interface WaitingStreamsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly hasTimeFor: (request: ForwardRequest) => boolean;
}

/** Reports of engines are 100 to 200 ms old, so that asking more often learns nothing. */
const ASK_INTERVAL_MS = 150;
/** Intervals after which the others check whether they may still wait; a line may hold thousands. */
const INTERVALS_PER_CHECK = 4;

type WaitClock = WaitingStreamsOptions['clock'];

function createWaitingStream(clock: WaitClock, waiter: Waiter): WaitingStream {
  let isWoken = false;
  let stopTimer: (() => void) | undefined;
  return {
    waiter,
    async waitForWake() {
      const timer = new AbortController();
      stopTimer = () => timer.abort();
      // Woken while it asked engines, whose reports may be older than the cause.
      if (!isWoken) {
        await clock.waitMs(Math.max(0, waiter.deadlineMs - clock.getNowMs()), timer.signal);
      }
      stopTimer = undefined;
      isWoken = false;
    },
    wake() {
      isWoken = true;
      stopTimer?.();
    },
  };
}

interface Line extends ServiceLine {
  readonly dumpState: () => LineState;
  /** Those that may ask engines, or all; the first one first. */
  readonly wake: (which: 'first' | 'all') => void;
}

function createLine(clock: WaitClock): Line {
  const line = Decisions.createWaitingLine({ getNowMs: clock.getNowMs });
  const streams = new Set<WaitingStream>();
  /** By rank. */
  const lastMaxWaitMs = new Map<number, number>();
  let isTicking = false;

  function resumeStreams(which: 'first' | 'all'): void {
    const getPlace = ({ waiter }: WaitingStream) => line.getPlace(waiter) ?? 0;
    [...streams]
      .filter(({ waiter }) => which === 'all' || line.isAskAllowed(waiter))
      .map((stream) => ({ stream, place: getPlace(stream) }))
      .sort((left, right) => left.place - right.place)
      .forEach(({ stream }) => stream.wake());
  }

  /** One timer for all streams of the line, so that the first one asks first. */
  async function runTicks(): Promise<void> {
    if (isTicking) return;
    isTicking = true;
    for (let ticks = 1; streams.size > 0; ticks += 1) {
      await clock.waitMs(ASK_INTERVAL_MS);
      resumeStreams(ticks % INTERVALS_PER_CHECK === 0 ? 'all' : 'first');
    }
    isTicking = false;
  }

  function computeOutlook(rank: number, maxWaitMs: number): RankOutlook {
    const ahead = line
      .listRanks()
      .filter((other) => other.rank <= rank)
      .reduce((sum, { waiting }) => sum + waiting, 0);
    const waitMs = line.getExpectedWaitMs(ahead);
    const expectedWaitMs = Number.isFinite(waitMs) ? Math.round(waitMs) : undefined;
    const resultOfWait = waitMs > maxWaitMs ? 'refused' : 'waits';
    const result = ahead === 0 ? 'goes' : resultOfWait;
    return { rank, result, ahead, expectedWaitMs, maxWaitMs: Math.round(maxWaitMs) };
  }

  return {
    isAskAllowed: line.isAskAllowed,
    setRank: line.setRank,
    getPlace: line.getPlace,
    getRetryAfterMs: line.getRetryAfterMs,
    recordStart: line.recordStart,
    count: line.count,
    dumpState: () => ({
      waiting: line.listRanks(),
      outlook: [...lastMaxWaitMs].map(([rank, maxWaitMs]) => computeOutlook(rank, maxWaitMs)),
    }),
    wake: resumeStreams,
    add(query) {
      lastMaxWaitMs.set(query.rank, query.maxWaitMs);
      const outcome = line.add(query);
      if (outcome.kind === 'refused') return outcome;
      const stream = createWaitingStream(clock, outcome.waiter);
      streams.add(stream);
      // Waits and wakes only, neither of which fails.
      runTicks().catch(() => undefined);
      return { kind: 'waits', stream };
    },
    remove(stream) {
      line.remove(stream.waiter);
      streams.delete(stream);
    },
  };
}

export function createWaitingStreams({ clock, hasTimeFor }: WaitingStreamsOptions): WaitingStreams {
  const lines = new Map<string, Line>();

  function getLine(service: string): Line {
    const line = lines.get(service) ?? createLine(clock);
    lines.set(service, line);
    return line;
  }

  return {
    getLine,
    hasTimeFor,
    wakeFirst: (service) => lines.get(service)?.wake('first'),
    wakeAll: () => lines.forEach((line) => line.wake('all')),
    dumpState: () =>
      Object.fromEntries([...lines].map(([service, line]) => [service, line.dumpState()])),
  };
}
