/** Calls on keys: range, put, delete, transaction and compaction. */
import * as Responses from './responses';
import type { GatewayResponse } from './responses';
import * as Errors from './errors';
import type { PlatformError } from './errors';
import type { Leases } from './leases';
import type {
  CompareRequest,
  DeleteRequest,
  OperationRequest,
  PutRequest,
  RangeRequest,
  TransactionRequest,
} from './requests';
import type { PlatformSettings } from './settings';
import type { Store, StoredKey, StoreWriter } from './store';

export type CallResult = GatewayResponse | PlatformError;

export interface KeyCalls {
  readonly readRange: (request: RangeRequest) => CallResult;
  readonly writeKey: (request: PutRequest) => CallResult;
  readonly removeRange: (request: DeleteRequest) => CallResult;
  readonly runTransaction: (request: TransactionRequest) => CallResult;
  readonly compact: (revision: number) => CallResult;
}

export function isError(result: CallResult): result is PlatformError {
  return (result as { readonly kind?: unknown }).kind === 'error';
}

const NO_LEASE = '0';

export function createKeyCalls(store: Store, leases: Leases, settings: PlatformSettings): KeyCalls {
  function findRangeError(request: RangeRequest): PlatformError | undefined {
    if (request.revision === 0 || request.revision === store.getRevision()) return undefined;
    if (request.revision > store.getRevision()) return Errors.FUTURE_REVISION;
    if (request.revision < store.getCompactRevision()) return Errors.COMPACTED;
    return Errors.OLD_REVISION;
  }

  function findPutError(request: PutRequest): PlatformError | undefined {
    if (request.key === '') return Errors.KEY_MISSING;
    if (request.value.length > settings.maxValueBytes) return Errors.REQUEST_TOO_LARGE;
    const isLeaseMissing =
      request.lease !== NO_LEASE && leases.findLease(request.lease) === undefined;
    return isLeaseMissing ? Errors.LEASE_NOT_FOUND : undefined;
  }

  function buildRange(request: RangeRequest, revision: number): GatewayResponse {
    const found = sortKeys(request, store.listRange(getRange(request))).filter(
      (stored) =>
        stored.modRevision >= request.min_mod_revision &&
        (request.max_mod_revision === 0 || stored.modRevision <= request.max_mod_revision),
    );
    const limited = request.limit > 0 ? found.slice(0, request.limit) : found;
    const shown = request.count_only ? [] : limited;
    const kvs = shown.map((stored) =>
      Responses.buildKey(request.keys_only ? { ...stored, value: Buffer.alloc(0) } : stored),
    );
    return Responses.buildResponse({
      header: Responses.buildHeader(revision),
      kvs,
      more: !request.count_only && shown.length < found.length,
      count: String(found.length),
    });
  }

  function applyPut(writer: StoreWriter, request: PutRequest): GatewayResponse {
    const previous = writer.writeKey(request.key, request.value, request.lease);
    return {
      header: Responses.buildHeader(writer.getRevision()),
      ...(request.prev_kv && previous !== undefined
        ? { prev_kv: Responses.buildKey(previous) }
        : {}),
    };
  }

  function applyDelete(writer: StoreWriter, request: DeleteRequest): GatewayResponse {
    const removed = writer.removeRange(getRange(request));
    return Responses.buildResponse({
      header: Responses.buildHeader(writer.getRevision()),
      deleted: String(removed.length),
      prev_kvs: request.prev_kv ? removed.map(Responses.buildKey) : [],
    });
  }

  function applyOperation(writer: StoreWriter, operation: OperationRequest): GatewayResponse {
    if (operation.request_put !== undefined) {
      return { response_put: applyPut(writer, operation.request_put) };
    }
    if (operation.request_delete_range !== undefined) {
      return { response_delete_range: applyDelete(writer, operation.request_delete_range) };
    }
    if (operation.request_range === undefined) return {};
    return { response_range: buildRange(operation.request_range, writer.getRevision()) };
  }

  function findTransactionError(request: TransactionRequest): PlatformError | undefined {
    const branches = [request.success, request.failure];
    const sizes = [request.compare, ...branches].map((list) => list.length);
    if (Math.max(...sizes) > settings.maxTransactionOperations) return Errors.TOO_MANY_OPERATIONS;
    return branches.map(findBranchError).find((error) => error !== undefined);
  }

  function findBranchError(operations: readonly OperationRequest[]): PlatformError | undefined {
    const puts = operations.flatMap(({ request_put: put }) => (put === undefined ? [] : [put]));
    if (new Set(puts.map((put) => put.key)).size < puts.length) return Errors.DUPLICATE_KEY;
    const ranges = operations.flatMap(({ request_range: range }) =>
      range === undefined ? [] : [range],
    );
    return [...puts.map(findPutError), ...ranges.map(findRangeError)].find(
      (error) => error !== undefined,
    );
  }

  return {
    readRange: (request) => findRangeError(request) ?? buildRange(request, store.getRevision()),
    writeKey: (request) =>
      findPutError(request) ?? store.writeRevision((writer) => applyPut(writer, request)),
    removeRange: (request) =>
      request.key === ''
        ? Errors.KEY_MISSING
        : store.writeRevision((writer) => applyDelete(writer, request)),
    runTransaction(request) {
      const error = findTransactionError(request);
      if (error !== undefined) return error;
      const succeeded = request.compare.every((comparison) => isComparisonMet(store, comparison));
      return store.writeRevision((writer) => {
        const operations = succeeded ? request.success : request.failure;
        const responses = operations.map((operation) => applyOperation(writer, operation));
        const header = Responses.buildHeader(writer.getRevision());
        return Responses.buildResponse({ header, succeeded, responses });
      });
    },
    compact(revision) {
      if (revision > store.getRevision()) return Errors.FUTURE_REVISION;
      if (revision <= store.getCompactRevision()) return Errors.COMPACTED;
      store.compact(revision);
      return { header: Responses.buildHeader(store.getRevision()) };
    },
  };
}

function getRange(request: { readonly key: string; readonly range_end?: string | undefined }) {
  return { key: request.key, rangeEnd: request.range_end };
}

function sortKeys(request: RangeRequest, found: readonly StoredKey[]): readonly StoredKey[] {
  const sorted = [...found];
  if (request.sort_target === 'MOD') sorted.sort((a, b) => a.modRevision - b.modRevision);
  if (request.sort_target === 'CREATE') sorted.sort((a, b) => a.createRevision - b.createRevision);
  if (request.sort_target === 'VERSION') sorted.sort((a, b) => a.version - b.version);
  if (request.sort_target === 'VALUE') sorted.sort((a, b) => a.value.compare(b.value));
  return request.sort_order === 'DESCEND' ? sorted.reverse() : sorted;
}

/**
 * A comparison of a range holds if it holds for each key in it; a missing key is compared as zeros.
 */
function isComparisonMet(store: Store, comparison: CompareRequest): boolean {
  const found = store.listRange(getRange(comparison));
  if (found.length > 0) return found.every((stored) => isComparisonMetBy(stored, comparison));
  if (comparison.range_end !== undefined) return true;
  return comparison.target !== 'VALUE' && isComparisonMetBy(MISSING_KEY, comparison);
}

function isComparisonMetBy(stored: StoredKey, comparison: CompareRequest): boolean {
  const difference = compareTarget(stored, comparison);
  if (comparison.result === 'GREATER') return difference > 0;
  if (comparison.result === 'LESS') return difference < 0;
  return comparison.result === 'EQUAL' ? difference === 0 : difference !== 0;
}

/** Stands for a key that does not exist in comparisons. */
const MISSING_KEY: StoredKey = {
  key: '',
  value: Buffer.alloc(0),
  createRevision: 0,
  modRevision: 0,
  version: 0,
  leaseId: NO_LEASE,
};

/** Returns a negative number if the stored value is less than the value in the comparison. */
function compareTarget(stored: StoredKey, comparison: CompareRequest): number {
  const { target } = comparison;
  if (target === 'VALUE') return stored.value.compare(comparison.value);
  if (target === 'MOD') return stored.modRevision - comparison.mod_revision;
  if (target === 'CREATE') return stored.createRevision - comparison.create_revision;
  if (target === 'LEASE') return Number(BigInt(stored.leaseId) - BigInt(comparison.lease));
  return stored.version - comparison.version;
}
