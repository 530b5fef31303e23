/**
 * One model's way in: its concurrency limit, its queue and the speed at which work leaves it.
 *
 * Load pattern: saturation. Without an estimate of the wait at the door, requests sit in the queue
 * until their deadline and are refused after the caller has waited for nothing.
 */
import type { ModelQueueState, Ticket } from './admissionTypes';
import type { ConcurrencyLimit } from './concurrencyLimit';
import type { Cost } from './cost';
import * as FairQueue from './fairQueue';
import * as Heap from './heap';

/** Work a second of one running generation until it is measured: 30 ms a token. */
const INITIAL_WORK_PER_SECOND = 33;
/** Seconds of running time that the measured speed looks back over, for each unit of limit. */
const SPEED_MEMORY = 0.98;
/** Waits that the error of the estimate looks back over, as a decay, and its bound. */
const WAIT_MEMORY = 0.98;
const MAX_ERROR = 3;
const PRIORITIES = 10;

export interface QueuedTicket extends FairQueue.QueuedWork {
  readonly ticket: Ticket;
  readonly cost: Cost;
  /** The organisation's, for the order in which work is turned away. */
  readonly shedPriority: number;
}

export interface LaneWait {
  readonly organisation: string;
  readonly weight: number;
  /** Of the request itself: a slot has to be freed for it as well. */
  readonly work: number;
}

export interface ModelQueue {
  readonly model: string;
  readonly limit: ConcurrencyLimit;
  readonly queue: FairQueue.FairQueue<QueuedTicket>;
  readonly addTicket: (queued: QueuedTicket) => void;
  readonly removeTicket: (queued: QueuedTicket) => void;
  readonly takeTicket: (nowMs: number) => QueuedTicket | undefined;
  /** Tickets over their deadline, removed. */
  readonly takeExpired: (nowMs: number) => readonly QueuedTicket[];
  readonly getNextDeadlineMs: () => number | undefined;
  readonly recordStart: () => void;
  readonly recordEnd: (work: number, ranMs: number) => void;
  readonly getRunning: () => number;
  readonly hasRoom: () => boolean;
  readonly getWorkPerSecond: () => number;
  /** Until a request of this organisation would start, milliseconds. */
  readonly computeWaitMs: (wait: LaneWait) => number;
  /** Time to run all that waits of a more important priority, milliseconds. */
  readonly computeBacklogAboveMs: (priority: number) => number;
}

export function createModelQueue(model: string, limit: ConcurrencyLimit): ModelQueue {
  const queue = FairQueue.createFairQueue<QueuedTicket>();
  const deadlines = Heap.createHeap<QueuedTicket>((queued) => queued.ticket.deadlineMs);
  const waiting = new Set<QueuedTicket>();
  const workByPriority = new Array<number>(PRIORITIES).fill(0);
  let running = 0;
  let ranSeconds = 1;
  let waitedMs = 1;
  let expectedMs = 1;
  let ranWork = INITIAL_WORK_PER_SECOND;

  function addTicket(queued: QueuedTicket): void {
    queue.addItem(queued);
    deadlines.addValue(queued);
    waiting.add(queued);
    workByPriority[queued.shedPriority] = (workByPriority[queued.shedPriority] ?? 0) + queued.work;
  }

  function markGone(queued: QueuedTicket): void {
    waiting.delete(queued);
    workByPriority[queued.shedPriority] = (workByPriority[queued.shedPriority] ?? 0) - queued.work;
  }

  function removeTicket(queued: QueuedTicket): void {
    if (!waiting.has(queued)) return;
    queue.removeItem(queued);
    markGone(queued);
  }

  function takeTicket(nowMs: number): QueuedTicket | undefined {
    const queued = queue.takeNext();
    if (queued === undefined) return undefined;
    markGone(queued);
    recordWait(queued.ticket, nowMs);
    return queued;
  }

  function findFirstDeadline(): QueuedTicket | undefined {
    let first = deadlines.getFirst();
    while (first !== undefined && !waiting.has(first)) {
      deadlines.takeFirst();
      first = deadlines.getFirst();
    }
    return first;
  }

  function takeExpired(nowMs: number): readonly QueuedTicket[] {
    const expired: QueuedTicket[] = [];
    let first = findFirstDeadline();
    while (first !== undefined && first.ticket.deadlineMs <= nowMs) {
      removeTicket(first);
      recordWait(first.ticket, nowMs);
      expired.push(first);
      first = findFirstDeadline();
    }
    return expired;
  }

  /** Late ones count with the time at which they were dropped. */
  function recordWait(ticket: Ticket, nowMs: number): void {
    waitedMs = waitedMs * WAIT_MEMORY + (nowMs - ticket.queuedAtMs);
    expectedMs = expectedMs * WAIT_MEMORY + ticket.expectedWaitMs;
  }

  function recordEnd(work: number, ranMs: number): void {
    running -= 1;
    const memory = SPEED_MEMORY ** (1 / Math.max(1, limit.getLimit() / PRIORITIES));
    ranSeconds = ranSeconds * memory + ranMs / 1000;
    ranWork = ranWork * memory + work;
  }

  function getWorkPerSecond(): number {
    const speed = ranWork / Math.max(ranSeconds, 1e-3);
    return Math.max(1, speed * limit.getLimit());
  }

  function computeWaitMs(wait: LaneWait): number {
    const workBefore = queue.computeWorkAhead(wait.organisation, wait.weight);
    const error = Math.min(MAX_ERROR, Math.max(1, waitedMs / expectedMs));
    return ((workBefore + wait.work) / getWorkPerSecond()) * 1000 * error;
  }

  function computeBacklogAboveMs(priority: number): number {
    let work = 0;
    for (let above = 0; above < priority; above += 1) work += workByPriority[above] ?? 0;
    return (work / getWorkPerSecond()) * 1000;
  }

  return {
    model,
    limit,
    queue,
    addTicket,
    removeTicket,
    takeTicket,
    takeExpired,
    getNextDeadlineMs: () => findFirstDeadline()?.ticket.deadlineMs,
    recordStart: () => {
      running += 1;
    },
    recordEnd,
    getRunning: () => running,
    hasRoom: () => running < limit.getLimit(),
    getWorkPerSecond,
    computeWaitMs,
    computeBacklogAboveMs,
  };
}

export function dumpModelQueue(modelQueue: ModelQueue): ModelQueueState {
  return {
    model: modelQueue.model,
    limit: modelQueue.limit.getLimit(),
    running: modelQueue.getRunning(),
    queued: modelQueue.queue.getLength(),
    queuedWork: Math.round(modelQueue.queue.getWork()),
    workPerSecond: Math.round(modelQueue.getWorkPerSecond()),
  };
}
