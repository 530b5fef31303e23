/** Counts the calls that the platform received, for comparison with its call budget. */
import type { PlatformPath } from './requests';

export interface PlatformCounters {
  /** Range calls. */
  readonly reads: number;
  /** Puts, deletes, transactions and compactions. */
  readonly writes: number;
  readonly leaseCalls: number;
  readonly watchesOpen: number;
  /** Calls to open a watch since the start. */
  readonly watchesOpened: number;
}

export type PlatformCallKind = 'reads' | 'writes' | 'leaseCalls' | 'watchesOpened';

export function getCallKind(path: PlatformPath): PlatformCallKind {
  if (path === '/v3/kv/range') return 'reads';
  if (path === '/v3/watch') return 'watchesOpened';
  return path.startsWith('/v3/lease/') ? 'leaseCalls' : 'writes';
}

/**
 * Whether a call changes the store, so that a lost response leaves its client unsure whether it
 * took effect.
 */
export function isWritingCall(path: PlatformPath): boolean {
  return path !== '/v3/kv/range' && path !== '/v3/watch' && path !== '/v3/lease/timetolive';
}
