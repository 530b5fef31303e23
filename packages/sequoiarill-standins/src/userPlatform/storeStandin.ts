/** Stand-in for the platform's store: a single in-memory server with injectable faults. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as Servers from '../shared/server';
import type { StandinServer } from '../shared/server';

interface StoredItem {
  readonly key: string;
  readonly data: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Removal {
  readonly key: string;
  readonly revision: number;
  readonly deleted: true;
}

/** As listed in answers to watches. */
type Change = StoredItem | Removal;

interface Transaction {
  readonly expectedRevision?: readonly { readonly key: string; readonly revision: number }[];
  readonly puts?: readonly {
    readonly key: string;
    readonly data: string;
    readonly lease?: number;
  }[];
  readonly remove?: readonly string[];
}

export type StoreFault = 'none' | 'busy' | 'tooMany' | 'silent' | 'loseWrites';

/** Returns the value that readers of a view get for a key instead of the stored one. */
export type ChangeValue = (key: string, value: string) => string;

export interface StoreStandin {
  readonly start: () => Promise<string>;
  /** Serves the same store at a further address, with other values for its readers. */
  readonly startView: (changeValue: ChangeValue) => Promise<string>;
  readonly stop: () => Promise<void>;
  readonly setFault: (fault: StoreFault) => void;
  readonly writeValue: (key: string, value: string) => void;
  readonly removeKey: (key: string) => void;
  readonly getValue: (key: string) => string | undefined;
  readonly listKeys: () => readonly string[];
  /** Discards the history and answers every waiting watch. */
  readonly compact: () => void;
  /** What the store holds now, for `restoreCopy`. */
  readonly takeCopy: () => StoreCopy;
  /**
   * Goes back to the copy: later writes and leases are lost, and their revisions are given out again.
   * Waiting watches are cut.
   */
  readonly restoreCopy: (copy: StoreCopy) => void;
  readonly getCalls: () => readonly string[];
}

/** Content of the store at one moment. */
export interface StoreCopy {
  readonly items: readonly StoredItem[];
  readonly history: readonly Change[];
  readonly revision: number;
  readonly leases: readonly number[];
}

type CallHandler = (
  query: URLSearchParams,
  response: ServerResponse,
  body: string,
) => void | Promise<void>;

const ITEMS_PER_PAGE = 3;
const PAGE_CHARACTERS = 1_048_576;
const FIRST_ERA = 1;
const KEEP_PREFIX = '/kv-keep/';
const END_PREFIX = '/kv-lease-end/';

/** An item is encoded once, however many readers get it. */
const encodedItems = new WeakMap<Change, Buffer>();

function isItem(value: unknown): value is Pick<StoredItem, 'key' | 'data'> {
  return typeof value === 'object' && value !== null && 'key' in value && 'data' in value;
}

function applyChange(
  { data, ...item }: Pick<StoredItem, 'key' | 'data'>,
  changeValue: ChangeValue,
): Pick<StoredItem, 'key' | 'data'> {
  const value = changeValue(item.key, Buffer.from(data, 'base64').toString('utf8'));
  return { ...item, data: Buffer.from(value).toString('base64') };
}

function encodeItem(item: Change): Buffer {
  const encoded = encodedItems.get(item) ?? Buffer.from(JSON.stringify(item));
  encodedItems.set(item, encoded);
  return encoded;
}

/** Encodes an answer with a list of items and further fields. */
function encodeList(name: string, items: readonly Change[], fields: object): Buffer {
  const separator = Buffer.from(',');
  const parts = items.flatMap((item, index) =>
    index === 0 ? [encodeItem(item)] : [separator, encodeItem(item)],
  );
  const end = `],${JSON.stringify(fields).slice(1)}`;
  return Buffer.concat([Buffer.from(`{"${name}":[`), ...parts, Buffer.from(end)]);
}

/** At least one item, and no more than fit into a page. */
function selectPage(items: readonly StoredItem[]): readonly StoredItem[] {
  const page: StoredItem[] = [];
  let characters = 0;
  for (const item of items.slice(0, ITEMS_PER_PAGE)) {
    characters += item.data.length;
    if (page.length > 0 && characters > PAGE_CHARACTERS) break;
    page.push(item);
  }
  return page;
}

export function createStoreStandin(): StoreStandin {
  const items = new Map<string, StoredItem>();
  let history: Change[] = [];
  let compactedRevision = 0;
  let revision = 1;
  let nextLease = 100;
  /** Number of times that the store was restored from a copy. */
  let era = FIRST_ERA;
  const leases = new Set<number>();
  let fault: StoreFault = 'none';
  const calls: string[] = [];
  const watchers = new Set<() => void>();
  const watchingResponses = new Set<ServerResponse>();

  const views: StandinServer[] = [];
  const changesByResponse = new WeakMap<ServerResponse, ChangeValue>();

  function sendBody(response: ServerResponse, status: number, body: string | Buffer): void {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': era });
    response.end(body);
  }

  function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const changeValue = changesByResponse.get(response);
    const changeItem = (_name: string, value: unknown): unknown =>
      changeValue !== undefined && isItem(value) ? applyChange(value, changeValue) : value;
    sendBody(response, status, JSON.stringify(body, changeItem));
  }

  function sendList(
    response: ServerResponse,
    name: 'entries' | 'events',
    listed: readonly Change[],
    fields: object,
  ): void {
    if (changesByResponse.has(response)) sendJson(response, 200, { [name]: listed, ...fields });
    else sendBody(response, 200, encodeList(name, listed, fields));
  }

  function writeItem(key: string, data: string | undefined, lease = 0): void {
    revision += 1;
    if (data === undefined) {
      items.delete(key);
      history.push({ key, revision, deleted: true });
      return;
    }
    const created = items.get(key)?.created ?? revision;
    const item = { key, data, revision, created, lease };
    items.set(key, item);
    history.push(item);
  }

  function resumeWatches(): void {
    watchers.forEach((resumeWatch) => resumeWatch());
  }

  function closeWatches(): void {
    watchingResponses.forEach((response) => response.destroy());
    resumeWatches();
  }

  function runTransaction(transaction: Transaction): { status: number; body: unknown } {
    const { expectedRevision = [], puts = [], remove = [] } = transaction;
    const isMet = expectedRevision.every(
      (expected) => (items.get(expected.key)?.revision ?? 0) === expected.revision,
    );
    if (!isMet) {
      const entries = expectedRevision.map(({ key }) => items.get(key) ?? { key });
      return { status: 412, body: { entries } };
    }
    puts.forEach(({ key, data, lease }) => writeItem(key, data, lease));
    remove.forEach((key) => writeItem(key, undefined));
    resumeWatches();
    return { status: 200, body: { revision } };
  }

  function handleRange(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const entries = selectPage(found);
    const hasMore = found.length > entries.length;
    sendList(response, 'entries', entries, { hasMore, currentRev: revision });
  }

  async function handleWatch(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const after = Number(query.get('after'));
    const prefix = query.get('prefix') ?? '';
    const listUpdates = () =>
      history.filter((change) => change.revision > after && change.key.startsWith(prefix));
    const isAvailable = () => after >= compactedRevision && after <= revision;
    if (isAvailable() && listUpdates().length === 0) {
      watchingResponses.add(response);
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, Number(query.get('waitMs')));
        const resumeWatch = () => {
          clearTimeout(timer);
          watchers.delete(resumeWatch);
          resolve();
        };
        watchers.add(resumeWatch);
        response.once('close', resumeWatch);
      });
    }
    watchingResponses.delete(response);
    if (response.destroyed) return;
    if (!isAvailable()) {
      sendJson(response, 410, {});
      return;
    }
    sendList(response, 'events', listUpdates(), { currentRev: revision });
  }

  function handleKey(query: URLSearchParams, response: ServerResponse): void {
    const item = items.get(query.get('key') ?? '');
    sendJson(response, item === undefined ? 404 : 200, { ...item, currentRev: revision });
  }

  function handleTransaction(
    _query: URLSearchParams,
    response: ServerResponse,
    body: string,
  ): void {
    const { status, body: answer } = runTransaction(JSON.parse(body) as Transaction);
    if (fault !== 'loseWrites') sendJson(response, status, answer);
  }

  /** Leases never expire by themselves in this stand-in; they are lost when it is restored from an older copy. */
  function grantLease(_query: URLSearchParams, response: ServerResponse): void {
    nextLease += 1;
    leases.add(nextLease);
    sendJson(response, 200, { lease: nextLease, ttlMs: 20_000 });
  }

  function renewLease(path: string, response: ServerResponse): void {
    const lease = Number(path.slice(path.lastIndexOf('/') + 1));
    if (leases.has(lease)) sendJson(response, 200, { lease, ttlMs: 20_000 });
    else sendJson(response, 404, {});
  }

  function removeLease(path: string, response: ServerResponse): void {
    const lease = Number(path.slice(path.lastIndexOf('/') + 1));
    leases.delete(lease);
    const ended = [...items.values()].filter((item) => item.lease === lease);
    ended.forEach(({ key }) => writeItem(key, undefined));
    if (ended.length > 0) resumeWatches();
    sendJson(response, 200, {});
  }

  const handlers: Readonly<Record<string, CallHandler>> = {
    '/kv-range': handleRange,
    '/kv-key': handleKey,
    '/kv-watch': handleWatch,
    '/kv-txn': handleTransaction,
  };

  async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    return Buffer.concat(chunks).toString('utf8');
  }

  async function handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    calls.push(`${request.method ?? ''} ${url.pathname}`);
    if (fault === 'silent') return;
    if (fault === 'busy' || fault === 'tooMany') {
      sendJson(response, fault === 'busy' ? 503 : 429, {});
      return;
    }
    if (url.pathname.startsWith(KEEP_PREFIX)) renewLease(url.pathname, response);
    else if (url.pathname.startsWith(END_PREFIX)) removeLease(url.pathname, response);
    else await (handlers[url.pathname] ?? grantLease)(url.searchParams, response, body);
  }

  const server = Servers.createStandinServer('127.0.0.1:0', handleCall);

  return {
    start: async () => (await server.start()).address,
    async startView(changeValue) {
      const view = Servers.createStandinServer('127.0.0.1:0', (request, response) => {
        changesByResponse.set(response, changeValue);
        return handleCall(request, response);
      });
      views.push(view);
      return (await view.start()).address;
    },
    async stop() {
      await Promise.all([server, ...views].map((one) => one.stop()));
    },
    setFault(next) {
      fault = next;
    },
    writeValue(key, value) {
      runTransaction({ puts: [{ key, data: Buffer.from(value).toString('base64') }] });
    },
    removeKey(key) {
      runTransaction({ remove: [key] });
    },
    getValue(key) {
      const data = items.get(key)?.data;
      return data === undefined ? undefined : Buffer.from(data, 'base64').toString('utf8');
    },
    compact() {
      history = [];
      compactedRevision = revision;
      resumeWatches();
    },
    takeCopy: () => ({
      items: [...items.values()],
      history: [...history],
      revision,
      leases: [...leases],
    }),
    restoreCopy(copy) {
      items.clear();
      copy.items.forEach((item) => items.set(item.key, item));
      history = [...copy.history];
      revision = copy.revision;
      leases.clear();
      copy.leases.forEach((lease) => leases.add(lease));
      era += 1;
      closeWatches();
    },
    listKeys: () => [...items.keys()],
    getCalls: () => calls,
  };
}
