/** Reads the complete content of the store, page by page. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock, KeyValueStore } from '@sequoiarill/types';

import type { DirectoryState } from './directoryState';
import type { DirectoryRecord } from './recordCache';

const { getEra } = Kernel.Revisions;

export type PageResult =
  /** Last page: everything up to `revision` is known now. */
  | {
      readonly kind: 'complete';
      readonly revision: number;
      /** When the first page was requested. Monotonic milliseconds. */
      readonly startedAtMs: number;
    }
  | { readonly kind: 'more' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface FullRead {
  /** Reads the next page. After the last page, the next read starts from the beginning. */
  readonly readNextPage: () => Promise<PageResult>;
  /** Number of pages received, over all reads. */
  readonly countPages: () => number;
}

export interface FullReadOptions {
  readonly store: Pick<KeyValueStore, 'readPage'>;
  readonly state: Pick<DirectoryState, 'applyRecords' | 'applySnapshot' | 'applyLimit'>;
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly prefix: string;
}

/**
 * Failure: a store has a further page for ever, and what was read takes the memory of the process. The entries of 6,700
 * targets take 3 MB, and a configuration at most 1 MiB.
 */
export const MAX_READ_CHARACTERS = 32 * 1_048_576;
/** The same for what is received, including the content of entries that is not kept: its pages may go on for ever as well. */
const MAX_RECEIVED_CHARACTERS = 4 * MAX_READ_CHARACTERS;

/**
 * Failure: the entries of a large fleet are applied in one turn of the event loop, which takes hundreds of milliseconds of
 * processor time when a router starts, and more on a small share of a core; no caller or peer is answered meanwhile.
 */
const SLICE_RECORDS = 64;
const SLICE_PAUSE_MS = 1;

function countCharacters(records: readonly Pick<DirectoryRecord, 'key' | 'value'>[]): number {
  return records.reduce((sum, { key, value = '' }) => sum + key.length + value.length, 0);
}

/**
 * Load pattern: hundreds of routers lose power together and all read everything at once over small
 * links. A router that starts over after each failed call, and uses nothing before it has
 * everything, serves no requests for half a minute. Each page is therefore used as it arrives, and
 * a failed page alone is requested again.
 */
export function createFullRead({ store, state, clock, prefix }: FullReadOptions): FullRead {
  let records: readonly DirectoryRecord[] = [];
  /** Revision of the first page. Entries of later pages may be newer, never older. */
  let revision: number | undefined;
  let startedAtMs = 0;
  let pageCount = 0;
  let characters = 0;
  let receivedCharacters = 0;

  /** Lets other work of the process run between two slices. */
  async function applySlices(pageRecords: readonly DirectoryRecord[]): Promise<void> {
    for (let start = 0; start < pageRecords.length; start += SLICE_RECORDS) {
      if (start > 0) await clock.waitMs(SLICE_PAUSE_MS);
      state.applyRecords(pageRecords.slice(start, start + SLICE_RECORDS));
    }
  }

  function isTooLarge(): boolean {
    return characters > MAX_READ_CHARACTERS || receivedCharacters > MAX_RECEIVED_CHARACTERS;
  }

  function removePages(): void {
    records = [];
    revision = undefined;
    characters = 0;
    receivedCharacters = 0;
  }

  return {
    async readNextPage() {
      if (revision === undefined) startedAtMs = clock.getNowMs();
      const page = await store.readPage(prefix, records.at(-1)?.key ?? '');
      if (page.kind === 'unavailable') return { kind: 'failed', reason: page.message };
      const pageRecords = page.entries.map(({ key, revision: entryRevision, value }) =>
        state.applyLimit({ key, revision: entryRevision, value }),
      );
      pageCount += 1;
      characters += countCharacters(pageRecords);
      receivedCharacters += countCharacters(page.entries);
      if (isTooLarge()) {
        const reason = `the pages have ${receivedCharacters} characters, ${characters} without long entries`;
        removePages();
        return { kind: 'failed', reason };
      }
      if (revision !== undefined && getEra(page.revision) !== getEra(revision)) {
        // The store was restored between two pages: the ones before are of another state.
        removePages();
        return { kind: 'more' };
      }
      revision ??= page.revision;
      records = [...records, ...pageRecords];
      if (page.hasMore || pageRecords.length > SLICE_RECORDS) await applySlices(pageRecords);
      if (page.hasMore) return { kind: 'more' };
      // A key that is missing from all pages was removed at the revision of the first page or
      // before.
      const snapshot = { records, revision };
      removePages();
      state.applySnapshot(snapshot.records, snapshot.revision);
      return { kind: 'complete', revision: snapshot.revision, startedAtMs };
    },
    countPages: () => pageCount,
  };
}
