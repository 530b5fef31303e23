/**
 * History of the accepted texts of a section, compressed. The transaction that writes a section
 * also writes its history entry, so neither exists without the other. If the section is overwritten
 * without the `config` commands, the last accepted text is still available.
 */
import { gunzipSync, gzipSync } from 'node:zlib';

import type { KeyValueEntry, KeyWrite } from '@sequoiarill/types';
import * as Zod from 'zod';

import type { PlatformStore } from './keyValueStore';
import * as StoredSection from './storedSection';
import type { SectionEnvelope } from './storedSection';

/** Covers two working weeks of a section that changes five times a day. */
const MAX_ENTRIES = 50;
/** More than one, so that a history above its limit shrinks again. */
const MAX_REMOVALS_PER_EDIT = 5;

/** Above the size limit of any value; bounds the decompression. */
const MAX_TEXT_BYTES = 2_097_152;

/** One accepted text and the revision at which it took effect. */
export interface HistoryEntry extends SectionEnvelope {
  readonly revision: number;
}

const storedHistorySchema = Zod.object({
  writeId: Zod.string(),
  at: Zod.string(),
  author: Zod.string(),
  /** Base64 of the gzipped text. */
  packed: Zod.string(),
  /** Set if the text was written without the commands: the revision at which it took effect. */
  revision: Zod.number().optional(),
});

function encodeHistory(envelope: SectionEnvelope, revision?: number): string {
  const { writeId, at, author, text } = envelope;
  const packed = gzipSync(text).toString('base64');
  return JSON.stringify({ writeId, at, author, packed, revision });
}

/**
 * The entry was written in the same transaction as the section, so its revision is that of the
 * text. Damaged entries are skipped, so that they do not keep a router from finding the last valid
 * text.
 */
function decodeHistory(entry: KeyValueEntry): readonly HistoryEntry[] {
  try {
    const { packed, revision, ...rest } = storedHistorySchema.parse(JSON.parse(entry.value));
    const bytes = gunzipSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_TEXT_BYTES });
    return [{ ...rest, text: bytes.toString('utf8'), revision: revision ?? entry.revision }];
  } catch {
    return [];
  }
}

function getPrefix(section: string): string {
  return `${StoredSection.HISTORY_PREFIX}${section}/`;
}

/** Returns the entries oldest first, or undefined if the platform does not respond. */
export async function readHistory(
  store: PlatformStore,
  section: string,
): Promise<readonly HistoryEntry[] | undefined> {
  const range = await store.readPrefix(getPrefix(section));
  if (range.kind === 'unavailable') return undefined;
  return range.entries.flatMap(decodeHistory).sort((left, right) => left.revision - right.revision);
}

/** Adds the replaced text to the history if it was written without the commands. */
function buildBackfillWrites(section: string, replaced: HistoryEntry): readonly KeyWrite[] {
  if (replaced.revision === 0 || replaced.writeId !== '') return [];
  const key = StoredSection.formatHistoryKey(section, replaced.revision - 1);
  return [{ key, value: encodeHistory(replaced, replaced.revision) }];
}

/** Builds the writes that add the accepted text and remove the oldest entries above the limit. */
export async function buildHistoryWrites(
  store: PlatformStore,
  section: string,
  accepted: SectionEnvelope,
  replaced: HistoryEntry,
): Promise<readonly KeyWrite[]> {
  const key = StoredSection.formatHistoryKey(section, replaced.revision);
  const range = await store.readChangedKeys(getPrefix(section), 0);
  // If the list is unavailable, the history grows by one entry, and the next edit shortens it.
  const keys = range.kind === 'range' ? range.entries.map((entry) => entry.key).sort() : [];
  const excess = Math.max(0, keys.length + 1 - MAX_ENTRIES);
  const removed = keys.slice(0, Math.min(excess, MAX_REMOVALS_PER_EDIT));
  return [
    { key, value: encodeHistory(accepted) },
    ...buildBackfillWrites(section, replaced),
    ...removed.map((oldKey): KeyWrite => ({ key: oldKey })),
  ];
}
