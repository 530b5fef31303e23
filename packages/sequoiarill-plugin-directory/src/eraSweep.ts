/** Removes what a restored store lacks, for a router that queries a reader instead of the store. */
import * as Kernel from '@sequoiarill/kernel';

import type { DirectoryState } from './directoryState';
import type { RecordsOutcome } from './peerMessages';

export interface EraSweep {
  /** Everything up to this revision was read from the store itself. */
  readonly markRead: (revision: number) => void;
  readonly applyOutcome: (outcome: Extract<RecordsOutcome, { kind: 'records' }>) => void;
}

/**
 * Failure: a reader does not report the removal of a key that it never knew, so a router that knew it would
 * keep it for ever. Once the reader has reported everything of a new era, known keys of earlier eras are
 * missing from the store.
 */
export function createEraSweep(
  state: Pick<DirectoryState, 'applyRecords' | 'applySnapshot'>,
): EraSweep {
  /** Start of the last era of which everything is known. */
  let sweptRevision = 0;
  return {
    markRead(revision) {
      sweptRevision = Kernel.Revisions.getEraStart(revision);
    },
    applyOutcome({ records, seenRevision, isTruncated }) {
      state.applyRecords(records);
      const eraStart = Kernel.Revisions.getEraStart(seenRevision);
      if (isTruncated || eraStart <= sweptRevision || seenRevision === eraStart) return;
      state.applySnapshot([], eraStart);
      sweptRevision = eraStart;
    },
  };
}
