/** The budget of bytes that this process holds for callers and targets that read or send slowly. */
import * as Decisions from '@sequoiarill/decisions';
import type { Clock, Metrics as MetricsWriter, StateDump } from '@sequoiarill/types';

import * as Metrics from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as HeldEvents from './heldEvents';

/** An exchange for which bytes are held; all functions are cheap. */
export interface Holder {
  readonly requestId: string | undefined;
  readonly getKind: () => 'reader' | 'sender';
  readonly countBytes: () => number;
  /** Of these, the bytes of a body that was sent to a target. */
  readonly countSentBytes: () => number;
  /** Of these, the bytes of an answer or event that is held until it is whole. */
  readonly countWholeBytes: () => number;
  /** Changes whenever the caller has taken or sent bytes. */
  readonly countProgress: () => number;
  /** Whether the caller is to take or to send the next byte. */
  readonly isCallerDue: () => boolean;
  /** For senders only: whether the body is not one of the small ones, which are taken at any time. */
  readonly mayPause: () => boolean;
  /** For senders only. */
  readonly setPaused: (isPaused: boolean) => void;
  readonly cut: () => void;
}

export interface HeldEntry {
  /** Counts the bytes of the holder anew. */
  readonly update: () => void;
  readonly release: () => void;
}

export interface HeldBudget {
  readonly register: (holder: Holder) => HeldEntry;
  /** Whether more may be read from targets than callers have asked for. */
  readonly mayReadAhead: () => boolean;
  /** Whether an answer or event of which so much has arrived may be held on until it is whole. */
  readonly mayHoldWhole: (bytes: number) => boolean;
  /** Whether a request whose body has this size must be refused; counts the refusal. */
  readonly isBodyRefused: (bodyBytes: number | undefined) => boolean;
  readonly dumpState: () => StateDump;
  /** Cuts off all readers, so that no answer in progress looks complete, and ends the checks. */
  readonly stop: () => Promise<void>;
}

export interface HeldBudgetOptions {
  readonly limitBytes: number;
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<MetricsWriter, 'addCount' | 'setGauge'>;
}

const CHECK_INTERVAL_MS = 100;
/**
 * Share of the budget above which holders are checked regularly. Nobody is paused or cut below a half, and a check in
 * each interval costs a router with little load a tenth of its processor time.
 */
const CHECKED_SHARE = 0.4;
/** Above the budget, each addition may start a check; checks of 1,000 holders take a fraction of this. */
const MIN_CHECK_INTERVAL_MS = 5;

interface EntryBytes {
  bytes: number;
  sentBytes: number;
  wholeBytes: number;
}

const NO_BYTES: Readonly<EntryBytes> = { bytes: 0, sentBytes: 0, wholeBytes: 0 };

interface Entry extends EntryBytes {
  readonly holder: Holder;
  progress: number;
  /** Time of the last progress, or since when the caller is due, monotonic milliseconds. */
  movedAtMs: number;
  isPaused: boolean;
}

export function createHeldBudget(options: HeldBudgetOptions): HeldBudget {
  const { limitBytes, clock, log, metrics } = options;
  const entries = new Set<Entry>();
  const stopController = new AbortController();
  let heldBytes = 0;
  let sentBytes = 0;
  let wholeBytes = 0;
  let checkedAtMs = Number.NEGATIVE_INFINITY;
  let wasPaused = false;
  let cutCount = 0;
  let refusedCount = 0;
  let checks: Promise<void> | undefined;

  const getTotal = () => ({ heldBytes, limitBytes, sentBytes });
  const getWhole = () => ({ heldBytes, limitBytes, wholeBytes });

  function setBytes(entry: Entry, counted: EntryBytes): void {
    heldBytes += counted.bytes - entry.bytes;
    sentBytes += counted.sentBytes - entry.sentBytes;
    wholeBytes += counted.wholeBytes - entry.wholeBytes;
    Object.assign(entry, counted);
  }

  function countEntry(entry: Entry): void {
    setBytes(entry, countEntryBytes(entry));
  }

  function removeEntry(entry: Entry): void {
    if (entries.delete(entry)) setBytes(entry, NO_BYTES);
  }

  function cancelEntry(entry: Entry, idleMs: number): void {
    const { holder, bytes } = entry;
    const kind = holder.getKind();
    cutCount += 1;
    metrics.addCount(Metrics.HELD_CUT, 1, { kind });
    const fields = { request: holder.requestId, kind, bytes, idleMs: Math.round(idleMs) };
    log.logEvent(HeldEvents.CALLER_CUT, { ...fields, ...getTotal() });
    removeEntry(entry);
    holder.cut();
  }

  function applyPauses(): number {
    const senders = [...entries].filter(
      ({ holder }) => holder.getKind() === 'sender' && holder.isCallerDue() && holder.mayPause(),
    );
    const pausedSenders = new Set(Decisions.selectPausedSenders(getTotal(), senders));
    for (const entry of senders) {
      const isPaused = pausedSenders.has(entry);
      if (entry.isPaused !== isPaused) {
        entry.isPaused = isPaused;
        entry.holder.setPaused(isPaused);
      }
    }
    return pausedSenders.size;
  }

  function recordState(pausedSenders: number): void {
    const isPaused = Decisions.isPauseDue(getTotal());
    const readers = [...entries].filter(({ holder }) => holder.getKind() === 'reader').length;
    metrics.setGauge(Metrics.HELD_BYTES, heldBytes);
    metrics.setGauge(Metrics.HELD_PAUSED, isPaused ? readers : 0, { kind: 'reader' });
    metrics.setGauge(Metrics.HELD_PAUSED, pausedSenders, { kind: 'sender' });
    if (isPaused !== wasPaused) {
      log.logEvent(HeldEvents.CALLERS_PAUSED, { isPaused, readers, pausedSenders, ...getTotal() });
    }
    wasPaused = isPaused;
  }

  /** Returns the number of paused senders. */
  function checkHolders(): number {
    const nowMs = clock.getNowMs();
    checkedAtMs = nowMs;
    for (const entry of entries) {
      countEntry(entry);
      updateProgress(entry, nowMs);
    }
    const shares = [...entries].map((entry) => buildShare(entry, nowMs));
    for (const { entry, idleMs = 0 } of Decisions.selectCut(getTotal(), shares)) {
      cancelEntry(entry, idleMs);
    }
    return applyPauses();
  }

  function isCheckDue(): boolean {
    return heldBytes > limitBytes * CHECKED_SHARE && !stopController.signal.aborted;
  }

  /** Ends when little is held. */
  async function runChecks(): Promise<void> {
    while (isCheckDue()) {
      await clock.waitMs(CHECK_INTERVAL_MS, stopController.signal);
      recordState(checkHolders());
    }
    checks = undefined;
  }

  return {
    register(holder) {
      const entry = createEntry(holder, clock.getNowMs());
      entries.add(entry);
      return {
        update() {
          if (!entries.has(entry)) return;
          countEntry(entry);
          if (!isCheckDue()) return;
          checks ??= runChecks();
          if (!Decisions.isPauseDue(getTotal())) return;
          const isSender = holder.getKind() === 'sender' && !entry.isPaused;
          const isDue = clock.getNowMs() - checkedAtMs >= MIN_CHECK_INTERVAL_MS;
          if ((isSender || heldBytes > limitBytes) && isDue) checkHolders();
        },
        release: () => removeEntry(entry),
      };
    },
    mayReadAhead: () => !Decisions.isPauseDue(getTotal()),
    mayHoldWhole: (bytes) => Decisions.isWholeHeldOn(getWhole(), bytes),
    isBodyRefused(bodyBytes) {
      const isRefused = Decisions.isBodyRefused(getTotal(), bodyBytes);
      if (isRefused) {
        refusedCount += 1;
        metrics.addCount(Metrics.HELD_REFUSED);
      }
      return isRefused;
    },
    dumpState: () => ({
      ...getTotal(),
      holders: entries.size,
      isPaused: wasPaused,
      cut: cutCount,
      refused: refusedCount,
    }),
    async stop() {
      stopController.abort();
      [...entries]
        .filter(({ holder }) => holder.getKind() === 'reader')
        .forEach(({ holder }) => holder.cut());
      await checks;
    },
  };
}

function createEntry(holder: Holder, nowMs: number): Entry {
  const progress = holder.countProgress();
  return { holder, ...NO_BYTES, progress, movedAtMs: nowMs, isPaused: false };
}

function countEntryBytes({ holder }: Entry): EntryBytes {
  return {
    bytes: holder.countBytes(),
    sentBytes: holder.countSentBytes(),
    wholeBytes: holder.countWholeBytes(),
  };
}

function updateProgress(entry: Entry, nowMs: number): void {
  const progress = entry.holder.countProgress();
  const hasMoved = progress !== entry.progress || !entry.holder.isCallerDue();
  entry.progress = progress;
  if (hasMoved || entry.isPaused) entry.movedAtMs = nowMs;
}

function buildShare(entry: Entry, nowMs: number) {
  const idleMs = entry.holder.isCallerDue() ? nowMs - entry.movedAtMs : undefined;
  return { entry, bytes: entry.bytes, idleMs };
}
