/**
 * Queue of one model with its concurrency limit and its measured throughput.
 *
 * Load pattern: saturation. Without an estimate of the wait at admission, requests stay in the queue
 * until their deadline and are refused after the caller has waited in vain.
 */
import type { ModelQueueState, Ticket } from './admissionTypes';
import type { ConcurrencyLimit } from './concurrencyLimit';
import type { Cost } from './cost';
import * as FairQueue from './fairQueue';
import * as Heap from './heap';

/** Assumed work per second of one running generation until it is measured: one token in 30 ms. */
const INITIAL_WORK_PER_SECOND = 33;
/** Decay of the measured throughput for each completed generation; slower with a higher limit. */
const SPEED_DECAY = 0.98;
/** Decay of the measured and expected waits with each wait, and the bound on their ratio. */
const WAIT_DECAY = 0.98;
const MAX_WAIT_ERROR_FACTOR = 3;
const PRIORITY_COUNT = 10;

export interface QueuedTicket extends FairQueue.QueuedWork {
  readonly ticket: Ticket;
  readonly cost: Cost;
  /** Priority of the organisation, which determines the order in which work is shed. */
  readonly shedPriority: number;
}

export interface WaitQuery {
  readonly organisation: string;
  readonly weight: number;
  /** Work of the request itself: a slot has to be freed for it as well. */
  readonly work: number;
}

export interface ModelQueue {
  readonly model: string;
  readonly limit: ConcurrencyLimit;
  readonly queue: FairQueue.FairQueue<QueuedTicket>;
  readonly addTicket: (queued: QueuedTicket) => void;
  readonly removeTicket: (queued: QueuedTicket) => void;
  readonly takeTicket: (nowMs: number) => QueuedTicket | undefined;
  /** Removes the tickets that are past their deadline and returns them. */
  readonly takeExpired: (nowMs: number) => readonly QueuedTicket[];
  readonly getNextDeadlineMs: () => number | undefined;
  readonly recordStart: () => void;
  readonly recordEnd: (work: number, runMs: number) => void;
  readonly getRunning: () => number;
  readonly hasRoom: () => boolean;
  readonly getWorkPerSecond: () => number;
  /** Expected time until a request of this organisation would start, milliseconds. */
  readonly computeWaitMs: (query: WaitQuery) => number;
  /** Time to run all queued work of more important priorities, milliseconds. */
  readonly computeBacklogAboveMs: (priority: number) => number;
}

export function createModelQueue(model: string, limit: ConcurrencyLimit): ModelQueue {
  const queue = FairQueue.createFairQueue<QueuedTicket>();
  const deadlines = Heap.createHeap<QueuedTicket>((queued) => queued.ticket.deadlineMs);
  const waiting = new Set<QueuedTicket>();
  const workByPriority = new Array<number>(PRIORITY_COUNT).fill(0);
  let running = 0;
  let runSeconds = 1;
  let waitedMs = 1;
  let expectedMs = 1;
  let completedWork = INITIAL_WORK_PER_SECOND;

  function addTicket(queued: QueuedTicket): void {
    queue.addItem(queued);
    deadlines.addValue(queued);
    waiting.add(queued);
    workByPriority[queued.shedPriority] = (workByPriority[queued.shedPriority] ?? 0) + queued.work;
  }

  function markRemoved(queued: QueuedTicket): void {
    waiting.delete(queued);
    workByPriority[queued.shedPriority] = (workByPriority[queued.shedPriority] ?? 0) - queued.work;
  }

  function removeTicket(queued: QueuedTicket): void {
    if (!waiting.has(queued)) return;
    queue.removeItem(queued);
    markRemoved(queued);
  }

  function takeTicket(nowMs: number): QueuedTicket | undefined {
    const queued = queue.takeNext();
    if (queued === undefined) return undefined;
    markRemoved(queued);
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

  /** Expired tickets count with the time until they were dropped. */
  function recordWait(ticket: Ticket, nowMs: number): void {
    waitedMs = waitedMs * WAIT_DECAY + (nowMs - ticket.queuedAtMs);
    expectedMs = expectedMs * WAIT_DECAY + ticket.expectedWaitMs;
  }

  function recordEnd(work: number, runMs: number): void {
    running -= 1;
    const decay = SPEED_DECAY ** (1 / Math.max(1, limit.getLimit() / PRIORITY_COUNT));
    runSeconds = runSeconds * decay + runMs / 1000;
    completedWork = completedWork * decay + work;
  }

  function getWorkPerSecond(): number {
    const speed = completedWork / Math.max(runSeconds, 1e-3);
    return Math.max(1, speed * limit.getLimit());
  }

  function computeWaitMs(query: WaitQuery): number {
    const workBefore = queue.computeWorkAhead(query.organisation, query.weight);
    const errorFactor = Math.min(MAX_WAIT_ERROR_FACTOR, Math.max(1, waitedMs / expectedMs));
    return ((workBefore + query.work) / getWorkPerSecond()) * 1000 * errorFactor;
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
