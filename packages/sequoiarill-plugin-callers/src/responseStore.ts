/** Stores running and recently ended responses, which can be read, resumed and cancelled. */
import { setMaxListeners } from 'node:events';

import type { Clock } from '@sequoiarill/types';

import type { LiveResponse } from './liveResponse';
import type { ResponseLog } from './responseLog';
import type { CallersSettings } from './settings';

export interface ResponseStore {
  /** Stores a response until `retainMs` after its end. */
  readonly addResponse: (live: LiveResponse) => void;
  /** Returns a response only to the organisation it belongs to. */
  readonly findResponse: (id: string, organisation: string) => LiveResponse | undefined;
  /** Whether the generation that fills the log may continue. */
  readonly hasCapacity: (log: ResponseLog) => boolean;
  /** Receives each size change of a response. */
  readonly recordSizeChange: (change: number) => void;
  /** Called when a reader closes; calls `cancelAbandoned` if no reader opens in time. */
  readonly handleReaderClosed: (live: LiveResponse, cancelAbandoned: () => void) => void;
  readonly getSize: () => StoreSize;
  /** Resolves when no response is running, with or without readers. */
  readonly drain: () => Promise<void>;
  /** Cancels running responses and removes ended ones. */
  readonly close: () => void;
}

export interface StoreSize {
  readonly running: number;
  /** Running without a reader, waiting for their caller to reconnect. */
  readonly unread: number;
  readonly ended: number;
  readonly bytes: number;
}

/** A generation pauses while its slowest reader is further behind than this. */
const MAX_BACKLOG_BYTES = 262_144;
/**
 * Share kept when events are dropped. A quarter is dropped at once, so that adding an event rarely
 * causes the cost of a drop.
 */
const KEPT_SHARE = 0.75;

export function createResponseStore(settings: CallersSettings, clock: Clock): ResponseStore {
  const running = new Map<string, LiveResponse>();
  /** Ordered by end time, oldest first. */
  const ended = new Map<string, LiveResponse>();
  const closing = new AbortController();
  // Lifts the limit on listeners, since every retained response adds one.
  setMaxListeners(0, closing.signal);

  let bytes = 0;

  function removeResponse(live: LiveResponse): void {
    if (ended.delete(live.identity.id)) bytes -= live.getBytes();
  }

  function countUnread(): number {
    const all = [...running.values()];
    return all.filter((live) => live.isStreamed && live.log.getReaderCount() === 0).length;
  }

  /** Removes ended responses without a reader, oldest first, until the store is below its limit. */
  function removeEndedOverLimit(): void {
    for (const live of ended.values()) {
      if (bytes <= settings.maxRetainedBytes) return;
      if (live.log.getReaderCount() === 0) removeResponse(live);
    }
  }

  /**
   * Whether the generation may continue. With a reader, makes room by dropping events that all
   * readers have read; without one, no event may be dropped.
   */
  function hasCapacity(log: ResponseLog): boolean {
    if (bytes > settings.maxRetainedBytes) removeEndedOverLimit();
    const isStoreFull = bytes > settings.maxRetainedBytes;
    const isResponseOverLimit = log.getBytes() > settings.maxResponseBytes;
    if (log.getReaderCount() === 0) return !isStoreFull && !isResponseOverLimit;
    if (log.getBacklogBytes() > MAX_BACKLOG_BYTES) return false;
    if (isStoreFull) log.removeReadEvents(0);
    else if (isResponseOverLimit) log.removeReadEvents(settings.maxResponseBytes * KEPT_SHARE);
    return true;
  }

  async function removeAfterRetention(live: LiveResponse): Promise<void> {
    await live.ended;
    const { id } = live.identity;
    running.delete(id);
    ended.set(id, live);
    if (bytes > settings.maxRetainedBytes) removeEndedOverLimit();
    const retainMs = live.identity.request.store ? settings.retainMs : 0;
    await clock.waitMs(retainMs, closing.signal);
    removeResponse(live);
  }

  return {
    addResponse(live) {
      running.set(live.identity.id, live);
      // Not expected to reject: outcomes are values, and an aborted `waitMs` resolves.
      removeAfterRetention(live).catch(() => running.delete(live.identity.id));
    },
    findResponse(id, organisation) {
      const live = running.get(id) ?? ended.get(id);
      return live?.organisation === organisation ? live : undefined;
    },
    hasCapacity,
    recordSizeChange(change) {
      bytes += change;
    },
    handleReaderClosed(live, cancelAbandoned) {
      if (live.log.getReaderCount() > 0 || live.log.isClosed()) return;
      const { resumeGraceMs } = settings;
      const graceMs = live.identity.request.store ? resumeGraceMs : 0;
      waitForReader(live, graceMs, closing.signal, clock)
        .then((isStillNeeded) => {
          if (!isStillNeeded) cancelAbandoned();
        })
        .catch(cancelAbandoned);
    },
    getSize: () => ({ running: running.size, unread: countUnread(), ended: ended.size, bytes }),
    async drain() {
      while (running.size > 0) await [...running.values()][0]?.ended;
    },
    close() {
      closing.abort();
      running.forEach((live) => live.cancel());
    },
  };
}

/** Resolves with false if no reader opens in time, with true if one does or no cancel is needed. */
async function waitForReader(
  live: LiveResponse,
  graceMs: number,
  closing: AbortSignal,
  clock: Clock,
): Promise<boolean> {
  const { log } = live;
  const deadlineMs = clock.getNowMs() + graceMs;
  while (log.getReaderCount() === 0 && !log.isClosed() && !closing.aborted) {
    const remainingMs = deadlineMs - clock.getNowMs();
    if (remainingMs <= 0) return false;
    const timer = new AbortController();
    const onClosing = (): void => timer.abort();
    closing.addEventListener('abort', onClosing, { once: true });
    await Promise.race([log.waitForReaders(), clock.waitMs(remainingMs, timer.signal)]);
    timer.abort();
    closing.removeEventListener('abort', onClosing);
  }
  return true;
}
