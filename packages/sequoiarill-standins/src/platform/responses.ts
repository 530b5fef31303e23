/**
 * Builds responses in the JSON encoding of the gateway: 64-bit numbers as text, bytes as base64,
 * zero values omitted.
 */
import type { StoredKey, StoreEvent } from './store';

const CLUSTER_ID = '14841639068965178418';
const MEMBER_ID = '10276657743932975437';

export type GatewayResponse = Readonly<Record<string, unknown>>;

export function buildHeader(revision: number): GatewayResponse {
  return {
    cluster_id: CLUSTER_ID,
    member_id: MEMBER_ID,
    revision: String(revision),
    raft_term: '2',
  };
}

/** Omits what the published encoding omits: zero, false, empty text and empty lists. */
export function buildResponse(fields: GatewayResponse): GatewayResponse {
  const nonZero = Object.entries(fields).filter(([, value]) => !isZeroValue(value));
  return Object.fromEntries(nonZero);
}

function isZeroValue(value: unknown): boolean {
  if (Array.isArray(value)) return value.length === 0;
  return value === undefined || value === false || value === '' || value === '0';
}

export function buildKey(stored: StoredKey): GatewayResponse {
  return buildResponse({
    key: Buffer.from(stored.key, 'latin1').toString('base64'),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: String(stored.version),
    value: stored.value.toString('base64'),
    lease: stored.leaseId,
  });
}

export function buildEvent(event: StoreEvent, includesPrevious: boolean): GatewayResponse {
  const { stored, previous } = event;
  const previousKey =
    includesPrevious && previous !== undefined ? { prev_kv: buildKey(previous) } : {};
  if (event.type === 'PUT') return { kv: buildKey(stored), ...previousKey };
  const key = Buffer.from(stored.key, 'latin1').toString('base64');
  return {
    type: 'DELETE',
    kv: { key, mod_revision: String(stored.modRevision) },
    ...previousKey,
  };
}
