/**
 * Earlier texts of a section. A text goes into the history in the very transaction that replaces it,
 * compressed, so that neither can be without the other.
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
});

export function encodeHistory(envelope: SectionEnvelope): string {
  const { text, ...rest } = envelope;
  return JSON.stringify({ ...rest, packed: gzipSync(text).toString('base64') });
}

function decodeHistory(entry: KeyValueEntry): HistoryEntry {
  const { packed, ...rest } = packedSchema.parse(JSON.parse(entry.value));
  const text = gunzipSync(Buffer.from(packed, 'base64')).toString('utf8');
  return { ...rest, text, revision: Number(entry.key.slice(entry.key.lastIndexOf('/') + 1)) };
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
  return range.kind === 'range' ? range.entries.map(decodeHistory) : undefined;
}

/** Writes that keep the replaced text and remove the oldest ones beyond the bound. */
export async function buildHistoryWrites(
  store: PlatformStore,
  section: string,
  replaced: HistoryEntry,
): Promise<readonly KeyWrite[]> {
  const key = StoredSection.formatHistoryKey(section, replaced.revision);
  const kept: KeyWrite = { key, value: encodeHistory(replaced) };
  const range = await store.readChangedKeys(getPrefix(section), 0);
  // Without the list the history grows by one more; the next edit shortens it.
  const keys = range.kind === 'range' ? range.entries.map((entry) => entry.key).sort() : [];
  const excess = Math.max(0, keys.length + 1 - MAX_ENTRIES);
  const removed = keys.slice(0, Math.min(excess, MAX_REMOVALS));
  return [kept, ...removed.map((oldKey): KeyWrite => ({ key: oldKey }))];
}
