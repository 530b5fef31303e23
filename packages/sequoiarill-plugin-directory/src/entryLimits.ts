/**
 * Bounds what a single entry of the store may cost.
 *
 * Failure: another writer leaves an entry of several MB among those of targets and routers. It is parsed and kept by each
 * router and passed on to others, and answers that hold it are refused as a whole, with all other entries in them.
 */
import type { ForwardingWire } from '@sequoiarill/types';

import * as DirectoryKeys from './directoryKeys';
import type { DirectoryRecord } from './recordCache';

/** Longest values, in characters. Targets and routers write some hundred, other entries of routers some thousand. */
const MAX_CHARACTERS: Readonly<Record<DirectoryKeys.KeyKind, number>> = {
  configuration: Number.POSITIVE_INFINITY,
  target: 16_384,
  router: 16_384,
  entry: 65_536,
  other: Number.POSITIVE_INFINITY,
};

export interface LimitedRecord {
  /** Without the content of the value where that is too long, so that the entry names nothing to use. */
  readonly record: DirectoryRecord;
  readonly isTooLong: boolean;
}

export function applyLimit(
  wire: Pick<ForwardingWire, 'configurationKey' | 'targetPrefix' | 'ownPrefix' | 'rolloutPrefix'>,
  record: DirectoryRecord,
): LimitedRecord {
  const { key, revision, value } = record;
  const kind = DirectoryKeys.decideKeyKind(wire, key);
  if (value === undefined || value.length <= MAX_CHARACTERS[kind]) {
    return { record, isTooLong: false };
  }
  return { record: { key, revision, value: '' }, isTooLong: true };
}
