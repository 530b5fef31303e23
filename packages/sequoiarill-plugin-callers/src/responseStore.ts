/** Responses that can be read, resumed and cancelled: those running and those ended lately. */
import { setMaxListeners } from 'node:events';

import type { Clock } from '@sequoiarill/types';

import type { LiveResponse } from './liveResponse';
import type { ResponseLog } from './responseLog';
import type { CallersSettings } from './settings';

export interface ResponseStore {
  /** Keeps a response until `retainMs` after its end. */
  readonly addResponse: (live: LiveResponse) => void;
  /** Only with the organisation it belongs to; for any other it does not exist. */
  readonly findResponse: (id: string, organisation: string) => LiveResponse | undefined;
  /** Whether the generation behind a log may go on. */
  readonly hasRoom: (log: ResponseLog) => boolean;
  /** Told by each log how its size changes. */
  readonly recordBytes: (change: number) => void;
  /** Called when a reader left; without another one, `cancelLater` runs after the grace. */
  readonly handleReaderLeft: (live: LiveResponse, cancelLater: () => void) => void;
  readonly getSize: () => StoreSize;
  /** Resolves when no response runs any more, read or not. */
  readonly drain: () => Promise<void>;
  /** Cancels what runs and forgets what ended. */
  readonly close: () => void;
}

export interface StoreSize {
  readonly running: number;
  /** Running without a reader: waiting for their caller to come back. */
  readonly unread: number;
  readonly ended: number;
  readonly bytes: number;
}

/** A reader may be this far behind before the generation waits for it. */
const MAX_BACKLOG_BYTES = 262_144;
/** Dropping a quarter at a time keeps the cost of dropping off most events. */
const KEEP_SHARE = 0.75;

export function createResponseStore(settings: CallersSettings, clock: Clock): ResponseStore {
  const running = new Map<string, LiveResponse>();
  /** Oldest end first. */
  const ended = new Map<string, LiveResponse>();
  const closing = new AbortController();
  // Every response that is kept waits for it.
  setMaxListeners(0, closing.signal);

  let bytes = 0;

  function removeResponse(live: LiveResponse): void {
    if (ended.delete(live.identity.id)) bytes -= live.getBytes();
  }

  function computeUnread(): number {
    const all = [...running.values()];
    return all.filter((live) => live.isStreamed && live.log.getReaderCount() === 0).length;
  }

  /** Ended responses go first, oldest first, unless somebody reads them right now. */
  function removeEnded(): void {
    for (const live of ended.values()) {
      if (bytes <= settings.maxRetainedBytes) return;
      if (live.log.getReaderCount() === 0) removeResponse(live);
    }
  }

  /** With a reader, what it has taken may be dropped; without one, nothing may. */
  function hasRoom(log: ResponseLog): boolean {
    if (bytes > settings.maxRetainedBytes) removeEnded();
    const isFull = bytes > settings.maxRetainedBytes;
    const isLong = log.getBytes() > settings.maxResponseBytes;
    if (log.getReaderCount() === 0) return !isFull && !isLong;
    if (log.getBacklogBytes() > MAX_BACKLOG_BYTES) return false;
    if (isFull) log.removeTaken(0);
    else if (isLong) log.removeTaken(settings.maxResponseBytes * KEEP_SHARE);
    return true;
  }

  async function removeLater(live: LiveResponse): Promise<void> {
    await live.ended;
    const { id } = live.identity;
    running.delete(id);
    ended.set(id, live);
    if (bytes > settings.maxRetainedBytes) removeEnded();
    const retainMs = live.identity.request.store ? settings.retainMs : 0;
    await clock.waitMs(retainMs, closing.signal);
    removeResponse(live);
  }

  return {
    addResponse(live) {
      running.set(live.identity.id, live);
      // Never rejects: a run's outcomes are values, and the clock ends early without an error.
      removeLater(live).catch(() => running.delete(live.identity.id));
    },
    findResponse(id, organisation) {
      const live = running.get(id) ?? ended.get(id);
      return live?.organisation === organisation ? live : undefined;
    },
    hasRoom,
    recordBytes(change) {
      bytes += change;
    },
    handleReaderLeft(live, cancelLater) {
      if (live.log.getReaderCount() > 0 || live.log.isClosed()) return;
      const { resumeGraceMs } = settings;
      const graceMs = live.identity.request.store ? resumeGraceMs : 0;
      waitForReturn(live, graceMs, closing.signal, clock)
        .then((hasReturned) => {
          if (!hasReturned) cancelLater();
        })
        .catch(cancelLater);
    },
    getSize: () => ({ running: running.size, unread: computeUnread(), ended: ended.size, bytes }),
    async drain() {
      while (running.size > 0) await [...running.values()][0]?.ended;
    },
    close() {
      closing.abort();
      running.forEach((live) => live.cancel());
    },
  };
}

/** Whether the response needs no cancelling after all: a reader came back, or it ended. */
async function waitForReturn(
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
    const woken = new AbortController();
    const onClosing = (): void => woken.abort();
    closing.addEventListener('abort', onClosing, { once: true });
    await Promise.race([log.waitForReaders(), clock.waitMs(remainingMs, woken.signal)]);
    woken.abort();
    closing.removeEventListener('abort', onClosing);
  }
  return true;
}
