/** What is known of contents as entries of the store, so that routers which start later know it. */
import type {
  ContentAnswer,
  ContentBlock,
  Directory,
  ForwardingWire,
  KeyValueStore,
} from '@sequoiarill/types';
import * as Zod from 'zod';

/** What one entry says of its content: it is blocked, or was answered since. */
export type BlockEntry =
  | { readonly kind: 'block'; readonly block: ContentBlock }
  | { readonly kind: 'answer'; readonly answer: ContentAnswer };

export interface BlockEntries {
  /** Is to be written; at most so many contents wait, the newest. */
  readonly addEntry: (entry: BlockEntry) => void;
  /** Writes what waits, until a call fails. */
  readonly writeNext: () => Promise<void>;
}

export interface BlockEntriesOptions {
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
}

/** The store forgets them by itself; as long as a block lasts. */
const LEASE_SECONDS = 600;
const MAX_WAITING = 100;

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

/** Ages are taken as of now. Undefined for what no router wrote. */
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

/** Gives the entries that are new since the call before. */
export function createEntryReader(
  wire: Pick<ForwardingWire, 'ownPrefix'>,
  directory: Pick<Directory, 'listEntries'>,
): () => readonly BlockEntry[] {
  const prefix = formatPrefix(wire);
  let seenRevisions: ReadonlyMap<string, number> = new Map();
  return () => {
    const stored = directory.listEntries(prefix);
    const fresh = stored.filter(({ key, revision }) => seenRevisions.get(key) !== revision);
    seenRevisions = new Map(stored.map(({ key, revision }) => [key, revision]));
    return fresh.flatMap(({ key, value }) => decodeEntry(key.slice(prefix.length), value) ?? []);
  };
}

export function createBlockEntries({ wire, store }: BlockEntriesOptions): BlockEntries {
  const waiting = new Map<string, BlockEntry>();
  let isWriting = false;

  async function writeEntry(content: string, entry: BlockEntry): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const key = `${formatPrefix(wire)}${content}`;
    // The newest goes over what was known before.
    const written = await store.writeTransaction({
      comparisons: [],
      writes: [{ key, value: encodeEntry(entry), leaseId: lease.leaseId }],
    });
    return written.kind === 'written';
  }

  return {
    addEntry(entry) {
      const { content } = entry.kind === 'block' ? entry.block : entry.answer;
      waiting.set(content, entry);
      const oldest = waiting.keys().next();
      if (waiting.size > MAX_WAITING && oldest.done !== true) waiting.delete(oldest.value);
    },
    async writeNext() {
      if (isWriting) return;
      isWriting = true;
      try {
        for (const [content, entry] of waiting) {
          if (!(await writeEntry(content, entry))) return;
          if (waiting.get(content) === entry) waiting.delete(content);
        }
      } finally {
        isWriting = false;
      }
    },
  };
}
