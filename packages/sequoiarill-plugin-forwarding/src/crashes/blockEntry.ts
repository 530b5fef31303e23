/** Stores which contents are blocked or were answered, so that routers that start later learn of them. */
import type {
  ContentAnswer,
  ContentBlock,
  Directory,
  ForwardingWire,
  KeyValueStore,
} from '@sequoiarill/types';
import * as Zod from 'zod';

/** State of a content in the store: blocked, or answered since the crashes. */
export type BlockEntry =
  | { readonly kind: 'block'; readonly block: ContentBlock }
  | { readonly kind: 'answer'; readonly answer: ContentAnswer };

export interface BlockEntries {
  /** Queues an entry for writing; drops the oldest one when too many contents are pending. */
  readonly addEntry: (entry: BlockEntry) => void;
  /** Writes the pending entries until a call fails. */
  readonly writePending: () => Promise<void>;
}

export interface BlockEntriesOptions {
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
}

/** The store expires entries after the duration of a block. */
const LEASE_SECONDS = 600;
const MAX_PENDING_ENTRIES = 100;

const valueSchema = Zod.discriminatedUnion('kind', [
  Zod.object({ kind: Zod.literal('block'), firstAgeMs: Zod.number().min(0) }),
  Zod.object({ kind: Zod.literal('answer'), ageMs: Zod.number().min(0) }),
]);

function formatPrefix({ ownPrefix }: Pick<ForwardingWire, 'ownPrefix'>): string {
  return `${ownPrefix}blocks/`;
}

function encodeEntry(entry: BlockEntry): string {
  const { kind } = entry;
  return kind === 'block'
    ? JSON.stringify({ kind, firstAgeMs: Math.round(entry.block.firstAgeMs) })
    : JSON.stringify({ kind, ageMs: Math.round(entry.answer.ageMs) });
}

/** Counts ages from now. Undefined for a value that no router wrote. */
function decodeEntry(content: string, value: string): BlockEntry | undefined {
  try {
    const parsed = valueSchema.safeParse(JSON.parse(value));
    if (!parsed.success) return undefined;
    const { kind, ...ages } = parsed.data;
    return 'firstAgeMs' in ages
      ? { kind: 'block', block: { content, ...ages, lastAgeMs: 0 } }
      : { kind: 'answer', answer: { content, ...ages } };
  } catch {
    return undefined;
  }
}

/** Returns a function that lists the entries that changed since its previous call. */
export function createEntryReader(
  wire: Pick<ForwardingWire, 'ownPrefix'>,
  directory: Pick<Directory, 'listEntries'>,
): () => readonly BlockEntry[] {
  const prefix = formatPrefix(wire);
  let seenRevisions: ReadonlyMap<string, number> = new Map();
  return () => {
    const stored = directory.listEntries(prefix);
    const changed = stored.filter(({ key, revision }) => seenRevisions.get(key) !== revision);
    seenRevisions = new Map(stored.map(({ key, revision }) => [key, revision]));
    return changed.flatMap(({ key, value }) => decodeEntry(key.slice(prefix.length), value) ?? []);
  };
}

export function createBlockEntries({ wire, store }: BlockEntriesOptions): BlockEntries {
  const pending = new Map<string, BlockEntry>();
  let isWriting = false;

  async function writeEntry(content: string, entry: BlockEntry): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const key = `${formatPrefix(wire)}${content}`;
    // The newest entry overwrites the previous state.
    const written = await store.writeTransaction({
      comparisons: [],
      writes: [{ key, value: encodeEntry(entry), leaseId: lease.leaseId }],
    });
    return written.kind === 'written';
  }

  return {
    addEntry(entry) {
      const { content } = entry.kind === 'block' ? entry.block : entry.answer;
      pending.set(content, entry);
      const oldest = pending.keys().next();
      if (pending.size > MAX_PENDING_ENTRIES && oldest.done !== true) pending.delete(oldest.value);
    },
    async writePending() {
      if (isWriting) return;
      isWriting = true;
      try {
        for (const [content, entry] of pending) {
          if (!(await writeEntry(content, entry))) return;
          if (pending.get(content) === entry) pending.delete(content);
        }
      } finally {
        isWriting = false;
      }
    },
  };
}
