/** Reports the origins of streams to the routers that are to remember them. */
import * as Decisions from '@sequoiarill/decisions';
import type { Clock, OriginRecord, RouterPeers } from '@sequoiarill/types';

export interface OriginReports {
  /** Reports the record soon, together with others. */
  readonly addRecord: (record: OriginRecord) => void;
  /** Addresses of router processes that have come since the last call. */
  readonly takeNewRouters: () => ReadonlySet<string>;
  /** Reports the record to those of the routers that are to remember it. */
  readonly addRecordFor: (record: OriginRecord, routers: ReadonlySet<string>) => void;
  /** Resolves when the pending records were sent. */
  readonly sendPending: () => Promise<void>;
}

export interface OriginReportsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'reportOrigins'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Two zones may be lost, and routers that have just started remember nothing. */
const HOLDER_COUNT = 3;
/** Routers that are tried for one record, including those that do not respond. */
const MAX_ROUTERS_TRIED = 6;
/** Records of this time travel together; a router that ends within it takes them along. */
const BATCH_MS = 10;
/** Records in one call. */
const MAX_BATCH = 200;

interface Pending {
  readonly record: OriginRecord;
  readonly addedAtMs: number;
  /** Routers in the order in which they are tried. */
  readonly routers: readonly string[];
}

export function createOriginReports(options: OriginReportsOptions): OriginReports {
  const { clock, peers, logFailure } = options;
  const pendingByRouter = new Map<string, Pending[]>();
  let sending: Promise<void> | undefined;
  /** Address and registration of each router. */
  let knownProcesses: ReadonlySet<string> = new Set();

  function addPending(router: string, pending: Pending): void {
    const batch = pendingByRouter.get(router) ?? [];
    batch.push(pending);
    pendingByRouter.set(router, batch);
    sending ??= sendBatches().finally(() => {
      sending = undefined;
    });
  }

  /** A record goes to the next router where one does not respond. */
  function addNext({ routers, ...pending }: Pending): void {
    const [router, ...others] = routers;
    if (router !== undefined) addPending(router, { ...pending, routers: others });
  }

  async function sendBatch(router: string, batch: readonly Pending[]): Promise<void> {
    const nowMs = clock.getNowMs();
    const records = batch.map(({ record, addedAtMs }) => ({
      ...record,
      ageMs: record.ageMs + nowMs - addedAtMs,
      leftMs: Math.max(0, record.leftMs - (nowMs - addedAtMs)),
    }));
    const outcome = await peers.reportOrigins(router, records);
    if (outcome.kind !== 'failed') return;
    logFailure(router, outcome.reason);
    batch.forEach(addNext);
  }

  async function sendBatches(): Promise<void> {
    await clock.waitMs(BATCH_MS);
    while (pendingByRouter.size > 0) {
      const batches = [...pendingByRouter];
      pendingByRouter.clear();
      await Promise.all(
        batches.flatMap(([router, all]) =>
          splitBatches(all).map((batch) => sendBatch(router, batch)),
        ),
      );
    }
  }

  function listHolders({ requestId }: OriginRecord): readonly string[] {
    const ranked = Decisions.selectOriginHolders(peers.listRouters(), requestId);
    return ranked.filter((router) => router !== peers.self).slice(0, MAX_ROUTERS_TRIED);
  }

  function takeNewRouters(): ReadonlySet<string> {
    const routers = peers.listRouters();
    const current = new Map(
      routers.map(({ address, registration = 0 }) => [`${address} ${registration}`, address]),
    );
    const added = [...current].filter(([process]) => !knownProcesses.has(process));
    knownProcesses = new Set(current.keys());
    return new Set(added.map(([, address]) => address));
  }

  return {
    takeNewRouters,
    addRecordFor(record, routers) {
      listHolders(record)
        .slice(0, HOLDER_COUNT)
        .filter((router) => routers.has(router))
        .forEach((router) => {
          addPending(router, { record, addedAtMs: clock.getNowMs(), routers: [] });
        });
    },
    addRecord(record) {
      const others = listHolders(record);
      const spares = others.slice(HOLDER_COUNT);
      others.slice(0, HOLDER_COUNT).forEach((router, index) => {
        // Each of the first routers has spares of its own, so that none gets a record twice.
        const routers = spares.filter((_spare, place) => place % HOLDER_COUNT === index);
        addPending(router, { record, addedAtMs: clock.getNowMs(), routers });
      });
    },
    async sendPending() {
      await sending;
    },
  };
}

function splitBatches(all: readonly Pending[]): readonly (readonly Pending[])[] {
  const count = Math.ceil(all.length / MAX_BATCH);
  return Array.from({ length: count }, (_one, index) =>
    all.slice(index * MAX_BATCH, (index + 1) * MAX_BATCH),
  );
}
