/** Blocked contents as entries of the store, so that routers which start later know them. */
import type { ContentBlock, ForwardingWire, KeyValueStore } from '@sequoiarill/types';
import * as Zod from 'zod';

export interface BlockEntries {
  /** Is to be written; at most so many wait, the newest. */
  readonly addBlock: (block: ContentBlock) => void;
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

const valueSchema = Zod.object({ firstAgeMs: Zod.number().min(0) });

export function formatPrefix({ ownPrefix }: Pick<ForwardingWire, 'ownPrefix'>): string {
  return `${ownPrefix}blocks/`;
}

/** Its last crash is taken for as new as the entry. Undefined for what no router wrote. */
export function decodeBlock(content: string, value: string): ContentBlock | undefined {
  try {
    const parsed = valueSchema.safeParse(JSON.parse(value));
    return parsed.success ? { content, ...parsed.data, lastAgeMs: 0 } : undefined;
  } catch {
    return undefined;
  }
}

export function createBlockEntries({ wire, store }: BlockEntriesOptions): BlockEntries {
  const waiting = new Map<string, ContentBlock>();
  let isWriting = false;

  async function writeBlock({ content, firstAgeMs }: ContentBlock): Promise<boolean> {
    const lease = await store.grantLease(LEASE_SECONDS);
    if (lease.kind !== 'granted') return false;
    const key = `${formatPrefix(wire)}${content}`;
    const value = JSON.stringify({ firstAgeMs: Math.round(firstAgeMs) });
    const written = await store.writeTransaction({
      // Another router that counts may have written it.
      comparisons: [{ key, revision: 0 }],
      writes: [{ key, value, leaseId: lease.leaseId }],
    });
    return written.kind === 'written' || written.kind === 'conflict';
  }

  return {
    addBlock(block) {
      waiting.set(block.content, block);
      const oldest = waiting.keys().next();
      if (waiting.size > MAX_WAITING && oldest.done !== true) waiting.delete(oldest.value);
    },
    async writeNext() {
      if (isWriting) return;
      isWriting = true;
      try {
        for (const [content, block] of waiting) {
          if (!(await writeBlock(block))) return;
          waiting.delete(content);
        }
      } finally {
        isWriting = false;
      }
    },
  };
}
