/**
 * Accepted texts of a section, compressed. A text enters the history in the very transaction that
 * makes it the section's text, so neither can be without the other; and if the section is overwritten
 * past the commands, the last accepted text is still there.
 */
import { gunzipSync, gzipSync } from 'node:zlib';

import type { KeyValueEntry, KeyWrite } from '@sequoiarill/types';
import * as Zod from 'zod';

import type { PlatformStore } from './keyValueStore';
import * as StoredSection from './storedSection';
import type { SectionEnvelope } from './storedSection';

/** Two working weeks of a section that is changed five times a day. */
const MAX_ENTRIES = 50;
/** More than one, so that a history that grew too long shrinks again. */
const MAX_REMOVALS = 5;

/** More than any value may hold. */
const MAX_TEXT_BYTES = 2_097_152;

/** One accepted text, by the revision at which it came into force. */
export interface HistoryEntry extends SectionEnvelope {
  readonly revision: number;
}

const packedSchema = Zod.object({
  writeId: Zod.string(),
  at: Zod.string(),
  author: Zod.string(),
  /** Base64 of the gzipped text. */
  packed: Zod.string(),
  /** Where the text came into force by other means, before it entered the history. */
  revision: Zod.number().optional(),
});

function encodeHistory(envelope: SectionEnvelope, revision?: number): string {
  const { writeId, at, author, text } = envelope;
  const packed = gzipSync(text).toString('base64');
  return JSON.stringify({ writeId, at, author, packed, revision });
}

/**
 * The entry was written with the section's text, so its own revision is that of the text. An entry
 * that was damaged by other means is left out: a router that looks for the last good text must not
 * stop over it.
 */
function decodeHistory(entry: KeyValueEntry): readonly HistoryEntry[] {
  try {
    const { packed, revision, ...rest } = packedSchema.parse(JSON.parse(entry.value));
    const bytes = gunzipSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_TEXT_BYTES });
    return [{ ...rest, text: bytes.toString('utf8'), revision: revision ?? entry.revision }];
  } catch {
    return [];
  }
}

function getPrefix(section: string): string {
  return `${StoredSection.HISTORY_PREFIX}${section}/`;
}

/** Oldest first; undefined when the platform does not answer. */
export async function readHistory(
  store: PlatformStore,
  section: string,
): Promise<readonly HistoryEntry[] | undefined> {
  const range = await store.readPrefix(getPrefix(section));
  if (range.kind === 'unavailable') return undefined;
  return range.entries.flatMap(decodeHistory).sort((left, right) => left.revision - right.revision);
}

/** A text that got there without the commands is in no history yet. */
function buildReplacedWrites(section: string, replaced: HistoryEntry): readonly KeyWrite[] {
  if (replaced.revision === 0 || replaced.writeId !== '') return [];
  const key = StoredSection.formatHistoryKey(section, replaced.revision - 1);
  return [{ key, value: encodeHistory(replaced, replaced.revision) }];
}

/** Writes that keep the accepted text and remove the oldest ones beyond the bound. */
export async function buildHistoryWrites(
  store: PlatformStore,
  section: string,
  accepted: SectionEnvelope,
  replaced: HistoryEntry,
): Promise<readonly KeyWrite[]> {
  const key = StoredSection.formatHistoryKey(section, replaced.revision);
  const range = await store.readChangedKeys(getPrefix(section), 0);
  // Without the list the history grows by one more; the next edit shortens it.
  const keys = range.kind === 'range' ? range.entries.map((entry) => entry.key).sort() : [];
  const excess = Math.max(0, keys.length + 1 - MAX_ENTRIES);
  const removed = keys.slice(0, Math.min(excess, MAX_REMOVALS));
  return [
    { key, value: encodeHistory(accepted) },
    ...buildReplacedWrites(section, replaced),
    ...removed.map((oldKey): KeyWrite => ({ key: oldKey })),
  ];
}
