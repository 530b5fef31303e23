/**
 * The queue before the engines: fair between organisations by weight, short before long inside one.
 *
 * Load pattern: a few organisations that send most of the load, and long generations among short.
 * First come, first served gives an organisation what it sends, not what its weight says, and one
 * long request holds back the short ones behind it. Start-time fair queueing (Goyal, Vin, Cheng 1996)
 * charges each organisation the work of its requests over its weight and takes the one that is least
 * ahead, in the logarithm of waiting organisations.
 */
import * as Heap from './heap';

/** A request may be overtaken by one of its own organisation that is shorter: its penalty per work. */
const ORDER_MS_PER_WORK = 0.2;
/** Never by more than this, so that long requests start as well. Milliseconds. */
const MAX_ORDER_MS = 300;

export interface QueuedWork {
  readonly organisation: string;
  readonly weight: number;
  /** 0 goes first inside its organisation. */
  readonly priority: number;
  readonly work: number;
  readonly queuedAtMs: number;
}

export interface FairQueue<Item extends QueuedWork> {
  readonly addItem: (item: Item) => void;
  readonly removeItem: (item: Item) => void;
  readonly takeNext: () => Item | undefined;
  /** Charges work that was let in without waiting, so that it counts against its organisation. */
  readonly recordStart: (organisation: string, weight: number, work: number) => void;
  readonly getLength: () => number;
  readonly getWork: () => number;
  readonly getOrganisationWork: (organisation: string) => number;
  /** Work that would start before a further request of this organisation. */
  readonly computeWorkAhead: (organisation: string, weight: number) => number;
  readonly getWaitingCount: () => number;
  /** The last item of the organisation that waits with most work over its weight. */
  readonly findEvictionCandidate: () => Item | undefined;
}

interface Line<Item> {
  readonly organisation: string;
  weight: number;
  /** Work charged so far over weight, on the queue's virtual time. */
  finish: number;
  /** Virtual time at which its next item is due. */
  start: number;
  work: number;
  readonly items: Item[];
}

/**
 * How far an organisation that used less than its share may start before the others, in work over
 * weight. Without it one that asks for half of its share, but twice in a second, has its second request
 * put behind the backlog of those who ask for too much.
 */
const CREDIT = 8_000;
/** Organisations with nothing waiting that are remembered for what they were charged. */
const MAX_LINES = 20_000;

export function createFairQueue<Item extends QueuedWork>(): FairQueue<Item> {
  const lines = new Map<string, Line<Item>>();
  const waiting = new Map<string, Line<Item>>();
  const heap = Heap.createHeap<{ readonly line: Line<Item>; readonly start: number }>(
    (entry) => entry.start,
  );
  let virtualTime = 0;
  let length = 0;
  let totalWork = 0;

  function getLine(organisation: string, weight: number): Line<Item> {
    const known = lines.get(organisation);
    if (known !== undefined) {
      known.weight = weight;
      return known;
    }
    if (lines.size >= MAX_LINES) removeIdleLines();
    const created = {
      organisation,
      weight,
      finish: virtualTime - CREDIT,
      start: virtualTime - CREDIT,
      work: 0,
      items: [],
    };
    lines.set(organisation, created);
    return created;
  }

  /** An idle line that is not ahead of virtual time says nothing. */
  function removeIdleLines(): void {
    for (const [name, line] of lines) {
      if (line.items.length === 0 && line.finish <= virtualTime - CREDIT) lines.delete(name);
    }
  }

  function markWaiting(line: Line<Item>): void {
    if (waiting.has(line.organisation)) return;
    waiting.set(line.organisation, line);
    const start = computeStart(line);
    Object.assign(line, { start });
    heap.addValue({ line, start });
  }

  function markIdle(line: Line<Item>): void {
    waiting.delete(line.organisation);
  }

  function computeStart(line: Line<Item>): number {
    return Math.max(virtualTime - CREDIT, line.finish);
  }

  function addItem(item: Item): void {
    const line = getLine(item.organisation, item.weight);
    line.items.splice(findPlace(line.items, item), 0, item);
    line.work += item.work;
    totalWork += item.work;
    length += 1;
    markWaiting(line);
  }

  function removeItem(item: Item): void {
    const line = lines.get(item.organisation);
    const place = line?.items.indexOf(item) ?? -1;
    if (line === undefined || place < 0) return;
    line.items.splice(place, 1);
    line.work -= item.work;
    totalWork -= item.work;
    length -= 1;
    // Its heap entry stays and is skipped when it comes up, or serves the line's next item.
  }

  function takeNext(): Item | undefined {
    for (let entry = heap.takeFirst(); entry !== undefined; entry = heap.takeFirst()) {
      const { line, start } = entry;
      const item = line.items.shift();
      if (item === undefined) {
        markIdle(line);
      } else {
        virtualTime = Math.max(virtualTime, start);
        line.finish = start + item.work / line.weight;
        line.work -= item.work;
        totalWork -= item.work;
        length -= 1;
        line.start = line.finish;
        if (line.items.length > 0) heap.addValue({ line, start: line.start });
        else markIdle(line);
        return item;
      }
    }
    return undefined;
  }

  function recordStart(organisation: string, weight: number, work: number): void {
    const line = getLine(organisation, weight);
    const start = computeStart(line);
    line.finish = start + work / weight;
    // Nothing waits, so nobody was kept from the engines: earlier use is no debt.
    if (length === 0) virtualTime = Math.max(virtualTime, start);
  }

  function computeWorkBefore(organisation: string, weight: number): number {
    const own = lines.get(organisation);
    const ownWork = own?.work ?? 0;
    const start = own === undefined ? virtualTime - CREDIT : computeStart(own);
    const due = start + ownWork / weight;
    let work = ownWork;
    for (const line of waiting.values()) {
      if (line !== own && line.start <= due && line.items.length > 0) {
        const itemWork = line.work / line.items.length;
        work += Math.min(line.work, (due - line.start) * line.weight + itemWork);
      }
    }
    return work;
  }

  function findHeaviestLast(): Item | undefined {
    let heaviest: Line<Item> | undefined;
    for (const line of waiting.values()) {
      if (heaviest === undefined || line.work / line.weight > heaviest.work / heaviest.weight) {
        heaviest = line;
      }
    }
    return heaviest?.items.at(-1);
  }

  return {
    addItem,
    removeItem,
    takeNext,
    recordStart,
    findEvictionCandidate: findHeaviestLast,
    getLength: () => length,
    getWork: () => totalWork,
    getOrganisationWork: (organisation) => lines.get(organisation)?.work ?? 0,
    computeWorkAhead: computeWorkBefore,
    getWaitingCount: () => waiting.size,
  };
}

function computeOrder(item: QueuedWork): number {
  return item.queuedAtMs + Math.min(MAX_ORDER_MS, item.work * ORDER_MS_PER_WORK);
}

function isBefore(left: QueuedWork, right: QueuedWork): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return computeOrder(left) < computeOrder(right);
}

/** Binary search for the place behind all that go first. */
function findPlace(items: readonly QueuedWork[], item: QueuedWork): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBefore(item, items[middle] as QueuedWork)) high = middle;
    else low = middle + 1;
  }
  return low;
}
