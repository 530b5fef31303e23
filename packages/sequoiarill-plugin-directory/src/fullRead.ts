/** Reads the complete content of the store, page by page. */
import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueStore } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import type { DirectoryRecord } from './recordCache';

const { getEra } = Kernel.Revisions;

export type PageResult =
  /** Last page: everything up to `revision` is known now. */
  | { readonly kind: 'complete'; readonly revision: number }
  | { readonly kind: 'more' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface FullRead {
  /** Reads the next page. After the last page, the next read starts from the beginning. */
  readonly readNextPage: () => Promise<PageResult>;
  /** Number of pages received, over all reads. */
  readonly countPages: () => number;
}

/**
 * Load pattern: hundreds of routers lose power together and all read everything at once over small
 * links. A router that starts over after each failed call, and uses nothing before it has
 * everything, serves no requests for half a minute. Each page is therefore used as it arrives, and
 * a failed page alone is requested again.
 */
export function createFullRead(
  store: Pick<KeyValueStore, 'readPage'>,
  state: Pick<DirectoryState, 'applyRecords' | 'applySnapshot'>,
  prefix: string,
): FullRead {
  let records: readonly DirectoryRecord[] = [];
  /** Revision of the first page. Entries of later pages may be newer, never older. */
  let revision: number | undefined;
  let pageCount = 0;

  function removePages(): void {
    records = [];
    revision = undefined;
  }

  return {
    async readNextPage() {
      const page = await store.readPage(prefix, records.at(-1)?.key ?? '');
      if (page.kind === 'unavailable') return { kind: 'failed', reason: page.message };
      const pageRecords = page.entries.map(({ key, revision: entryRevision, value }) => ({
        key,
        revision: entryRevision,
        value,
      }));
      pageCount += 1;
      if (revision !== undefined && getEra(page.revision) !== getEra(revision)) {
        // The store was restored between two pages: the ones before are of another state.
        removePages();
        return { kind: 'more' };
      }
      revision ??= page.revision;
      records = [...records, ...pageRecords];
      if (page.hasMore) {
        state.applyRecords(pageRecords);
        return { kind: 'more' };
      }
      // A key that is missing from all pages was removed at the revision of the first page or
      // before.
      const snapshot = { records, revision };
      removePages();
      state.applySnapshot(snapshot.records, snapshot.revision);
      return { kind: 'complete', revision: snapshot.revision };
    },
    countPages: () => pageCount,
  };
}
