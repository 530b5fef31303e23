/**
 * The queue in front of the engines: weighted fair between organisations, and short requests before
 * long ones within an organisation.
 *
 * With first come, first served, a few organisations that send most of the load would get a share
 * in proportion to what they send instead of their weight, and one long request would hold back the
 * short ones behind it. Start-time fair queueing (Goyal, Vin, Cheng 1996) charges each organisation
 * the work of its requests divided by its weight, and serves the one with the lowest start tag, in
 * time logarithmic in the number of waiting organisations.
 */
import * as Heap from './heap';

/** Sorting penalty for each unit of work, so that shorter requests overtake longer ones. */
const LENGTH_PENALTY_MS_PER_WORK = 0.2;
/** Upper bound of the penalty, so that long requests start as well. */
const MAX_LENGTH_PENALTY_MS = 300;

export interface QueuedWork {
  readonly organisation: string;
  readonly weight: number;
  /** Order within the organisation; 0 goes first. */
  readonly priority: number;
  readonly work: number;
  readonly queuedAtMs: number;
}

export interface FairQueue<Item extends QueuedWork> {
  readonly addItem: (item: Item) => void;
  readonly removeItem: (item: Item) => void;
  readonly takeNext: () => Item | undefined;
  /** Charges an organisation for work that started without queueing. */
  readonly recordStart: (organisation: string, weight: number, work: number) => void;
  readonly getLength: () => number;
  readonly getWork: () => number;
  readonly getOrganisationWork: (organisation: string) => number;
  /** Work that would start before another request of this organisation. */
  readonly computeWorkAhead: (organisation: string, weight: number) => number;
  readonly getWaitingOrganisationCount: () => number;
  /** The last item of the organisation that has the most waiting work in relation to its weight. */
  readonly findEvictionCandidate: () => Item | undefined;
}

interface OrganisationQueue<Item> {
  readonly organisation: string;
  weight: number;
  /** Finish tag: virtual time at which the work charged so far, divided by the weight, ends. */
  finishTag: number;
  /** Start tag: virtual time at which the next item is due. */
  startTag: number;
  work: number;
  readonly items: Item[];
}

/**
 * How far an organisation that used less than its share may start ahead of the others, in work
 * divided by weight. Without it, an organisation that uses half of its share but sends two requests
 * in a second would have the second one queued behind the backlog of organisations that exceed
 * their share.
 */
const CREDIT = 8_000;
/** Above this number, idle organisations are removed; until then their charges are kept. */
const MAX_ORGANISATIONS = 20_000;

export function createFairQueue<Item extends QueuedWork>(): FairQueue<Item> {
  const queues = new Map<string, OrganisationQueue<Item>>();
  const waitingQueues = new Map<string, OrganisationQueue<Item>>();
  const heap = Heap.createHeap<{
    readonly queue: OrganisationQueue<Item>;
    readonly startTag: number;
  }>((entry) => entry.startTag);
  let virtualTime = 0;
  let length = 0;
  let totalWork = 0;

  function getQueue(organisation: string, weight: number): OrganisationQueue<Item> {
    const existing = queues.get(organisation);
    if (existing !== undefined) {
      existing.weight = weight;
      return existing;
    }
    if (queues.size >= MAX_ORGANISATIONS) removeIdleQueues();
    const queue = {
      organisation,
      weight,
      finishTag: virtualTime - CREDIT,
      startTag: virtualTime - CREDIT,
      work: 0,
      items: [],
    };
    queues.set(organisation, queue);
    return queue;
  }

  /**
   * Removes idle organisations that are not ahead of the virtual time, since their charges have no
   * effect.
   */
  function removeIdleQueues(): void {
    for (const [name, queue] of queues) {
      if (queue.items.length === 0 && queue.finishTag <= virtualTime - CREDIT) queues.delete(name);
    }
  }

  function markWaiting(queue: OrganisationQueue<Item>): void {
    if (waitingQueues.has(queue.organisation)) return;
    waitingQueues.set(queue.organisation, queue);
    const startTag = computeStartTag(queue);
    Object.assign(queue, { startTag });
    heap.addValue({ queue, startTag });
  }

  function markIdle(queue: OrganisationQueue<Item>): void {
    waitingQueues.delete(queue.organisation);
  }

  function computeStartTag(queue: OrganisationQueue<Item>): number {
    return Math.max(virtualTime - CREDIT, queue.finishTag);
  }

  function addItem(item: Item): void {
    const queue = getQueue(item.organisation, item.weight);
    queue.items.splice(findInsertionIndex(queue.items, item), 0, item);
    queue.work += item.work;
    totalWork += item.work;
    length += 1;
    markWaiting(queue);
  }

  function removeItem(item: Item): void {
    const queue = queues.get(item.organisation);
    const index = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || index < 0) return;
    queue.items.splice(index, 1);
    queue.work -= item.work;
    totalWork -= item.work;
    length -= 1;
    // The heap entry stays; it is skipped when it is taken, or serves the next item of the
    // organisation.
  }

  function takeNext(): Item | undefined {
    for (let entry = heap.takeFirst(); entry !== undefined; entry = heap.takeFirst()) {
      const { queue, startTag } = entry;
      const item = queue.items.shift();
      if (item === undefined) {
        markIdle(queue);
      } else {
        virtualTime = Math.max(virtualTime, startTag);
        queue.finishTag = startTag + item.work / queue.weight;
        queue.work -= item.work;
        totalWork -= item.work;
        length -= 1;
        queue.startTag = queue.finishTag;
        if (queue.items.length > 0) heap.addValue({ queue, startTag: queue.startTag });
        else markIdle(queue);
        return item;
      }
    }
    return undefined;
  }

  function recordStart(organisation: string, weight: number, work: number): void {
    const queue = getQueue(organisation, weight);
    const startTag = computeStartTag(queue);
    queue.finishTag = startTag + work / weight;
    // While nothing waits, nobody is held back, so earlier use must not count as debt.
    if (length === 0) virtualTime = Math.max(virtualTime, startTag);
  }

  function computeWorkAhead(organisation: string, weight: number): number {
    const ownQueue = queues.get(organisation);
    const ownWork = ownQueue?.work ?? 0;
    const startTag = ownQueue === undefined ? virtualTime - CREDIT : computeStartTag(ownQueue);
    const dueTag = startTag + ownWork / weight;
    let work = ownWork;
    for (const queue of waitingQueues.values()) {
      if (queue !== ownQueue && queue.startTag <= dueTag && queue.items.length > 0) {
        const meanItemWork = queue.work / queue.items.length;
        work += Math.min(queue.work, (dueTag - queue.startTag) * queue.weight + meanItemWork);
      }
    }
    return work;
  }

  function findEvictionCandidate(): Item | undefined {
    let heaviestQueue: OrganisationQueue<Item> | undefined;
    for (const queue of waitingQueues.values()) {
      if (
        heaviestQueue === undefined ||
        queue.work / queue.weight > heaviestQueue.work / heaviestQueue.weight
      ) {
        heaviestQueue = queue;
      }
    }
    return heaviestQueue?.items.at(-1);
  }

  return {
    addItem,
    removeItem,
    takeNext,
    recordStart,
    findEvictionCandidate,
    getLength: () => length,
    getWork: () => totalWork,
    getOrganisationWork: (organisation) => queues.get(organisation)?.work ?? 0,
    computeWorkAhead,
    getWaitingOrganisationCount: () => waitingQueues.size,
  };
}

function computeSortKeyMs(item: QueuedWork): number {
  return item.queuedAtMs + Math.min(MAX_LENGTH_PENALTY_MS, item.work * LENGTH_PENALTY_MS_PER_WORK);
}

function hasPrecedence(left: QueuedWork, right: QueuedWork): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return computeSortKeyMs(left) < computeSortKeyMs(right);
}

/** Finds the index behind all items that go first, by binary search. */
function findInsertionIndex(items: readonly QueuedWork[], item: QueuedWork): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (hasPrecedence(item, items[middle] as QueuedWork)) high = middle;
    else low = middle + 1;
  }
  return low;
}
