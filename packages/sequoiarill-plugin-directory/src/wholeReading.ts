/** Reads everything in the store, page by page. */
import type { KeyValueStore } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import type { DirectoryRecord } from './recordLog';

export type PageEnd =
  /** `revision`: everything up to it is known now. */
  | { readonly kind: 'whole'; readonly revision: number }
  | { readonly kind: 'more' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface WholeReading {
  /** After the last page the next one begins anew. */
  readonly readNextPage: () => Promise<PageEnd>;
  /** Pages that came, of all readings. */
  readonly countPages: () => number;
}

/**
 * Load pattern: hundreds of routers lose their power together and all read everything at once, over small
 * links. A router that begins anew with each call that fails, and uses nothing before it has it all,
 * serves nobody for half a minute. So each page is used as it comes, and asked for again alone.
 */
export function createWholeReading(
  store: Pick<KeyValueStore, 'readPage'>,
  state: Pick<DirectoryState, 'applyRecords' | 'applyAll'>,
  prefix: string,
): WholeReading {
  let records: readonly DirectoryRecord[] = [];
  /** Of the first page: entries of later pages may be newer, never older. */
  let revision: number | undefined;
  let pages = 0;

  return {
    async readNextPage() {
      const page = await store.readPage(prefix, records.at(-1)?.key ?? '');
      if (page.kind === 'unavailable') return { kind: 'failed', reason: page.message };
      const fresh = page.entries.map(({ key, revision: changed, value }) => ({
        key,
        revision: changed,
        value,
      }));
      pages += 1;
      revision ??= page.revision;
      records = [...records, ...fresh];
      if (page.hasMore) {
        state.applyRecords(fresh);
        return { kind: 'more' };
      }
      // What is missing in all pages was removed at the first one's revision or before.
      const whole = { records, revision };
      records = [];
      revision = undefined;
      state.applyAll(whole.records, whole.revision);
      return { kind: 'whole', revision: whole.revision };
    },
    countPages: () => pages,
  };
}
