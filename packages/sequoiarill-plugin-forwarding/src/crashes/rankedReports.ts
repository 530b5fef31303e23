/**
 * Reports items to the routers that rank first for the key of each. All routers compute the same ranking, so no
 * election is needed. Items travel in batches, go to the next router where one does not respond, and are sent
 * again to routers that come to be among the first.
 */
import type { Clock, CrashReportOutcome, RouterPeers } from '@sequoiarill/types';

export interface RankedReports<Item> {
  /** Returns whether a router has received it, or none other than this one ranks first. */
  readonly addItem: (item: Item) => Promise<boolean>;
  /** Whether this router ranks among the first for the key. */
  readonly isHolder: (key: string) => boolean;
  /** Sends recent items to routers that rank first and have not received them. */
  readonly sendAgain: () => Promise<void>;
}

export interface RankedReportsOptions<Item> {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly getKey: (item: Item) => string;
  /** Sorts addresses of routers by their rank for the key. */
  readonly rank: (routers: readonly string[], key: string) => readonly string[];
  /** Number of routers that are to receive each item. */
  readonly holderCount: number;
  /** `ageMs`: time since the item was added. */
  readonly send: (
    router: string,
    items: readonly Readonly<{ item: Item; ageMs: number }>[],
  ) => Promise<CrashReportOutcome>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Items of this time travel together; a router that terminates within it takes them along. */
const BATCH_MS = 10;
const MAX_BATCH = 100;
/** Routers that are tried for one item, including those that do not respond. */
const MAX_ROUTERS_TRIED = 6;
/** Partitions last seconds, and a starting router knows few others. */
const RESEND_PERIOD_MS = 30_000;
/** Items that are kept for routers that come; the latest. */
const MAX_KEPT_ITEMS = 500;

interface Report<Item> {
  readonly item: Item;
  readonly addedAtMs: number;
  /** Router processes that have received it. */
  readonly received: Set<string>;
  /** Addresses that were tried. */
  readonly tried: Set<string>;
}

export function createRankedReports<Item>(
  options: RankedReportsOptions<Item>,
): RankedReports<Item> {
  const { clock, peers, getKey, holderCount } = options;
  let kept: readonly Report<Item>[] = [];
  const pendingByRouter = new Map<string, Report<Item>[]>();
  let sending: Promise<void> | undefined;

  function listRanked(key: string): readonly string[] {
    const addresses = peers.listRouters().map(({ address }) => address);
    return options.rank(addresses, key);
  }

  function listFirst(key: string): readonly string[] {
    return listRanked(key).slice(0, holderCount);
  }

  /** A process that starts again at an address has received nothing. */
  function formatProcess(address: string): string {
    const router = peers.listRouters().find((one) => one.address === address);
    return `${address} ${router?.registration ?? 0}`;
  }

  function addPending(router: string, report: Report<Item>): void {
    report.tried.add(router);
    const batch = pendingByRouter.get(router) ?? [];
    batch.push(report);
    pendingByRouter.set(router, batch);
  }

  function addNext(report: Report<Item>): void {
    if (report.tried.size >= MAX_ROUTERS_TRIED) return;
    const next = listRanked(getKey(report.item)).find(
      (router) => router !== peers.self && !report.tried.has(router),
    );
    if (next !== undefined) addPending(next, report);
  }

  async function sendBatch(router: string, batch: readonly Report<Item>[]): Promise<void> {
    const nowMs = clock.getNowMs();
    const items = batch.map(({ item, addedAtMs }) => ({ item, ageMs: nowMs - addedAtMs }));
    const outcome = await options.send(router, items);
    if (outcome.kind === 'counted') {
      const process = formatProcess(router);
      batch.forEach(({ received }) => received.add(process));
      return;
    }
    options.logFailure(router, outcome.reason);
    batch.forEach(addNext);
    if (pendingByRouter.size > 0) await startSending();
  }

  async function sendPending(router: string): Promise<void> {
    const batches = splitBatches(pendingByRouter.get(router) ?? []);
    pendingByRouter.delete(router);
    await Promise.all(batches.map((batch) => sendBatch(router, batch)));
  }

  /** Calls to different routers do not wait for each other, as one of them may not respond. */
  async function runSending(): Promise<void> {
    await clock.waitMs(BATCH_MS);
    sending = undefined;
    await Promise.all([...pendingByRouter.keys()].map(sendPending));
  }

  /** Resolves when all items that are pending now were sent, also to further routers where some did not respond. */
  async function startSending(): Promise<void> {
    sending ??= runSending();
    await sending;
  }

  return {
    isHolder: (key) => listFirst(key).includes(peers.self),
    async addItem(item) {
      const report = {
        item,
        addedAtMs: clock.getNowMs(),
        received: new Set<string>(),
        tried: new Set<string>(),
      };
      kept = [...kept, report].slice(-MAX_KEPT_ITEMS);
      const others = listFirst(getKey(item)).filter((router) => router !== peers.self);
      if (others.length === 0) return true;
      others.forEach((router) => addPending(router, report));
      await startSending();
      return report.received.size > 0;
    },
    async sendAgain() {
      const sinceMs = clock.getNowMs() - RESEND_PERIOD_MS;
      kept = kept.filter(({ addedAtMs }) => addedAtMs > sinceMs);
      for (const report of kept) {
        listFirst(getKey(report.item))
          .filter((router) => router !== peers.self)
          .filter((router) => !report.received.has(formatProcess(router)))
          .forEach((router) => addPending(router, report));
      }
      if (pendingByRouter.size > 0) await startSending();
    },
  };
}

function splitBatches<Item>(all: readonly Item[]): readonly (readonly Item[])[] {
  const count = Math.ceil(all.length / MAX_BATCH);
  return Array.from({ length: count }, (_one, index) =>
    all.slice(index * MAX_BATCH, (index + 1) * MAX_BATCH),
  );
}
