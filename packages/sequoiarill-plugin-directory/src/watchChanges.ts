/** Applies what a watch of the store has answered. */
import type { WatchEvent } from '@sequoiarill/types';

import type { Confirmation } from './confirmation';
import type { DirectoryState } from './directoryState';
import type { DirectoryRecord } from './recordCache';

export interface WatchTargets {
  readonly state: Pick<DirectoryState, 'applyRecords'>;
  readonly confirmation: Pick<Confirmation, 'recordSeen' | 'recordConfirmed'>;
}

/** `confirmedAtMs`: everything that the store held at this time is known with the answer. */
export function applyChanges(
  { state, confirmation }: WatchTargets,
  { revision, changes }: Extract<WatchEvent, { kind: 'changes' }>,
  confirmedAtMs: number,
): void {
  const records = changes.map(({ key, revision: changedRevision, entry }): DirectoryRecord =>
    entry === undefined
      ? { key, revision: changedRevision }
      : { key, revision: changedRevision, value: entry.value },
  );
  state.applyRecords(records);
  confirmation.recordSeen(revision);
  confirmation.recordConfirmed(confirmedAtMs);
}
