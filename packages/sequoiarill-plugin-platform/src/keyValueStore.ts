/**
 * The platform's key-value service, accessed through the etcd v3 JSON gateway. All keys of an
 * installation share a prefix, so that several installations can use one platform. Callers pass
 * keys without that prefix.
 */
import type {
  KeyComparison,
  KeyTransaction,
  KeyValueEntry,
  KeyValueRange,
  KeyValueStore,
  KeyValueUnavailable,
  KeyValueUnknown,
  KeyWrite,
  WatchEvent,
} from '@sequoiarill/types';
import type { ZodType } from 'zod';

import type { CallCounter, CallKind } from './callCounter';
import type { CallOutcome, GatewayClient } from './gatewayClient';
import * as Messages from './gatewayMessages';
import * as LineReader from './lineReader';

/** The key-value store with an additional read that only this plug-in uses. */
export interface PlatformStore extends KeyValueStore {
  /** Keys changed after a revision, without values: cheap enough to read every second. */
  readonly readChangedKeys: (
    prefix: string,
    afterRevision: number,
  ) => Promise<KeyValueRange | KeyValueUnavailable>;
}

export interface KeyValueStoreOptions {
  readonly gateway: GatewayClient;
  readonly counter: CallCounter;
  readonly keyPrefix: string;
}

/** Keys per page: 6,700 VM records take seven calls. Halved if the response is too long. */
const PAGE_KEYS = 1_000;

/** Far above the 6,700 VM records of the target size; bounds the memory of a read whose pages never end. */
const MAX_RANGE_ENTRIES = 100_000;

type FailedCall = Exclude<CallOutcome<never>, { readonly kind: 'answer' }>;

function reportUnavailable(outcome: FailedCall): KeyValueUnavailable {
  return { kind: 'unavailable', message: outcome.message };
}

/**
 * If the response was lost, the outcome is unknown: "not written" would make callers write twice.
 */
function reportFailedWrite(outcome: FailedCall): KeyValueUnavailable | KeyValueUnknown {
  return { kind: outcome.kind === 'notRun' ? 'unavailable' : 'unknown', message: outcome.message };
}

function buildRevisionComparison(revision: number): object {
  return { target: 'MOD', result: 'EQUAL', modRevision: String(revision) };
}

/** Whether a page ends before the key from which it was requested, as one that is repeated does. Both in base64. */
function isBeforeKey(lastKey: string, requestedKey: string): boolean {
  return Buffer.from(lastKey, 'base64').compare(Buffer.from(requestedKey, 'base64')) < 0;
}

interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly keys_only?: boolean;
  readonly min_mod_revision?: string;
}

export function createKeyValueStore(options: KeyValueStoreOptions): PlatformStore {
  const { gateway, counter, keyPrefix } = options;

  function encodeKey(key: string): string {
    return Messages.encodeText(`${keyPrefix}${key}`);
  }

  async function callCounted<Payload>(
    kind: CallKind,
    path: string,
    body: object,
    schema: ZodType<Payload>,
  ): Promise<CallOutcome<Payload>> {
    counter.addCall(kind);
    const startedMs = performance.now();
    const outcome = await gateway.callGateway(path, body, schema);
    counter.recordTiming(kind, outcome.kind, performance.now() - startedMs);
    return outcome;
  }

  function encodeComparison(comparison: KeyComparison): object {
    return { key: encodeKey(comparison.key), ...buildRevisionComparison(comparison.revision) };
  }

  function encodeWrite(write: KeyWrite): object {
    const key = encodeKey(write.key);
    if (write.value === undefined) return { requestDeleteRange: { key } };
    const value = Messages.encodeText(write.value);
    const lease = write.leaseId === undefined ? {} : { lease: write.leaseId };
    return { requestPut: { key, value, ...lease } };
  }

  function callRange(request: RangeRequest, limit: number) {
    const body = { ...request, limit: String(limit) };
    return callCounted('read', '/v3/kv/range', body, Messages.rangeSchema);
  }

  /**
   * Reads page by page and returns the revision of the first page. Entries of later pages may be
   * newer but never older, so a watch that starts at this revision misses nothing. Pinning later
   * pages to this revision would fail whenever the platform compacts in between.
   */
  async function readPages(request: RangeRequest): Promise<KeyValueRange | KeyValueUnavailable> {
    const entries: KeyValueEntry[] = [];
    let revision = 0;
    let pageKeys = PAGE_KEYS;
    let next = request;
    for (;;) {
      const outcome = await callRange(next, pageKeys);
      if (outcome.kind === 'tooLarge' && pageKeys > 1) {
        pageKeys = Math.floor(pageKeys / 2);
        continue;
      }
      if (outcome.kind !== 'answer') return reportUnavailable(outcome);
      const { header, kvs, more } = outcome.response;
      if (revision === 0) revision = header.revision;
      entries.push(...kvs.map((kv) => Messages.decodeEntry(kv, keyPrefix)));
      const last = kvs.at(-1);
      if (!more || last === undefined) return { kind: 'range', revision, entries };
      if (isBeforeKey(last.key, next.key) || entries.length > MAX_RANGE_ENTRIES) {
        return { kind: 'unavailable', message: 'the pages of a range do not end' };
      }
      const key = Messages.encodeText(`${Messages.decodeText(last.key)}\0`);
      next = { ...next, key };
    }
  }

  function encodePrefix(prefix: string): RangeRequest {
    const rangeEnd = Messages.encodePrefixEnd(`${keyPrefix}${prefix}`);
    return { key: encodeKey(prefix), range_end: rangeEnd };
  }

  async function writeTransaction(transaction: KeyTransaction) {
    const { comparisons, writes } = transaction;
    const body = {
      compare: comparisons.map(encodeComparison),
      success: writes.map(encodeWrite),
      failure: comparisons.map(({ key }) => ({ requestRange: { key: encodeKey(key) } })),
    };
    const outcome = await callCounted('write', '/v3/kv/txn', body, Messages.transactionSchema);
    if (outcome.kind !== 'answer') return reportFailedWrite(outcome);
    const { header, succeeded, responses } = outcome.response;
    if (succeeded) return { kind: 'written', revision: header.revision } as const;
    const kvs = responses.flatMap((response) => response.response_range?.kvs ?? []);
    const current = kvs.map((kv) => Messages.decodeEntry(kv, keyPrefix));
    return { kind: 'conflict', revision: header.revision, current } as const;
  }

  async function* watchPrefix(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<WatchEvent, void, void> {
    counter.addCall('watch');
    const create = { ...encodePrefix(prefix), start_revision: String(fromRevision) };
    const body = { create_request: { ...create, progress_notify: true } };
    const stream = await gateway.openStream('/v3/watch', body, signal);
    if (stream === undefined) return;
    try {
      for await (const line of LineReader.readLines(stream)) {
        const event = decodeWatchLine(line, keyPrefix);
        if (event === 'ended') return;
        if (event !== 'created') yield event;
        if (event !== 'created' && event.kind === 'compacted') return;
      }
    } catch {
      // The connection broke or was aborted. The caller opens a new watch from its last revision.
    }
  }

  return {
    async readPage(prefix, afterKey) {
      const range = await readPages(encodePrefix(prefix));
      if (range.kind === 'unavailable') return range;
      const entries = range.entries.filter(({ key }) => key > afterKey);
      return { kind: 'page', revision: range.revision, entries, hasMore: false };
    },
    readPrefix: (prefix) => readPages(encodePrefix(prefix)),
    readKey: (key) => readPages({ key: encodeKey(key) }),
    readChangedKeys(prefix, afterRevision) {
      const changed = { keys_only: true, min_mod_revision: String(afterRevision + 1) };
      return readPages({ ...encodePrefix(prefix), ...changed });
    },
    writeTransaction,
    watchPrefix,
    renewConnections: gateway.renewConnections,
    async grantLease(ttlSeconds) {
      const body = { TTL: String(ttlSeconds) };
      const outcome = await callCounted('write', '/v3/lease/grant', body, Messages.leaseSchema);
      if (outcome.kind !== 'answer') return reportFailedWrite(outcome);
      const { ID: leaseId, TTL } = outcome.response;
      return { kind: 'granted', leaseId, ttlSeconds: TTL };
    },
    async refreshLease(leaseId) {
      const body = { ID: leaseId };
      const path = '/v3/lease/keepalive';
      const outcome = await callCounted('write', path, body, Messages.keepAliveSchema);
      if (outcome.kind !== 'answer') return reportUnavailable(outcome);
      const ttlSeconds = outcome.response.result?.TTL ?? 0;
      // The service reports an expired lease with a time to live of zero.
      return ttlSeconds > 0 ? { kind: 'granted', leaseId, ttlSeconds } : { kind: 'expired' };
    },
    async revokeLease(leaseId) {
      await callCounted('write', '/v3/lease/revoke', { ID: leaseId }, Messages.revokeSchema);
    },
  };
}

/** Decodes one message of a watch. A cancelled or invalid one ends the watch. */
function decodeWatchLine(line: string, keyPrefix: string): WatchEvent | 'created' | 'ended' {
  const parsed = Messages.watchSchema.safeParse(JSON.parse(line));
  const message = parsed.success ? parsed.data.result : undefined;
  if (message === undefined) return 'ended';
  if (message.compact_revision > 0) {
    return { kind: 'compacted', oldestRevision: message.compact_revision };
  }
  if (message.canceled) return 'ended';
  if (message.created && message.events.length === 0) return 'created';
  const changes = Messages.decodeChanges(message, keyPrefix);
  const revision = Math.max(0, ...changes.map((change) => change.revision));
  // The header's revision may be ahead of events that have not been delivered yet, so only
  // progress notifications, which carry no events, may use it.
  return {
    kind: 'changes',
    revision: changes.length > 0 ? revision : message.header.revision,
    changes,
  };
}
