/**
 * Reads the stored document for an editor, and finds the faults that a new section text would
 * cause.
 */
import type { KeyValueEntry, KeyValueUnavailable } from '@sequoiarill/types';

import * as DocumentChecks from './documentChecks';
import type { CheckedSection } from './documentChecks';
import type { PlatformStore } from './keyValueStore';
import type { HistoryEntry } from './sectionHistory';
import * as SectionParser from './sectionParser';
import type { DocumentFault } from './sectionParser';
import * as StoredSection from './storedSection';

/**
 * A section as stored. One that does not exist has revision 0 and the text of a removed section.
 */
export type StoredState = HistoryEntry;

export interface StoredDocument {
  readonly kind: 'document';
  /** Revision of the store at which the document was read. */
  readonly revision: number;
  /** Revision of the last accepted edit of any section. */
  readonly latestRevision: number;
  readonly sections: ReadonlyMap<string, StoredState>;
}

const ABSENT_SECTION: StoredState = {
  revision: 0,
  writeId: '',
  at: '',
  author: '',
  text: StoredSection.TOMBSTONE_TEXT,
};

export function getSection(document: StoredDocument, section: string): StoredState {
  return document.sections.get(section) ?? ABSENT_SECTION;
}

function decodeState(entry: KeyValueEntry): [string, StoredState] {
  const name = entry.key.slice(StoredSection.SECTIONS_PREFIX.length);
  return [name, { ...StoredSection.decodeEnvelope(entry.value), revision: entry.revision }];
}

/**
 * Reads the marker of the last edit before the sections, so that an edit between the two reads
 * makes the comparison of the marker fail. In the other order, such an edit would go unnoticed.
 */
export async function readDocument(
  store: PlatformStore,
): Promise<StoredDocument | KeyValueUnavailable> {
  const latest = await store.readKey(StoredSection.LATEST_KEY);
  if (latest.kind === 'unavailable') return latest;
  const range = await store.readPrefix(StoredSection.SECTIONS_PREFIX);
  if (range.kind === 'unavailable') return range;
  return {
    kind: 'document',
    revision: range.revision,
    latestRevision: latest.entries[0]?.revision ?? 0,
    sections: new Map(range.entries.map(decodeState)),
  };
}

/**
 * Updates a document by reading only the sections that changed since.
 *
 * Load pattern: tens of edits per second to different sections. Reading and checking all of a large
 * document for each attempt takes longer than the marker stays unchanged, so no edit would succeed.
 * Unchanged sections keep their objects, and with them their cached parse results.
 */
export async function updateDocument(
  store: PlatformStore,
  previous: StoredDocument,
): Promise<StoredDocument | KeyValueUnavailable> {
  const latest = await store.readKey(StoredSection.LATEST_KEY);
  if (latest.kind === 'unavailable') return latest;
  const newestRevision = Math.max(
    0,
    ...[...previous.sections.values()].map(({ revision }) => revision),
  );
  const changed = await store.readChangedKeys(StoredSection.SECTIONS_PREFIX, newestRevision);
  if (changed.kind === 'unavailable') return changed;
  const sections = new Map(previous.sections);
  for (const { key } of changed.entries) {
    const range = await store.readKey(key);
    if (range.kind === 'unavailable') return range;
    range.entries.map(decodeState).forEach(([name, state]) => sections.set(name, state));
  }
  const latestRevision = latest.entries[0]?.revision ?? 0;
  return { kind: 'document', revision: changed.revision, latestRevision, sections };
}

/** Parse results of stored sections, cached for as long as a section does not change. */
const parsedByState = new WeakMap<StoredState, readonly CheckedSection[]>();

/** Returns nothing for a section that does not parse, so that it does not block edits of others. */
function parseState(name: string, state: StoredState): readonly CheckedSection[] {
  const cached = parsedByState.get(state);
  if (cached !== undefined) return cached;
  const result = SectionParser.parseSection(state.text, 'platform', name);
  const sections: readonly CheckedSection[] =
    result.kind === 'section' ? [{ name, file: 'platform', content: result.content }] : [];
  parsedByState.set(state, sections);
  return sections;
}

/**
 * Finds all faults that the new text has or causes. Faults that other sections already had are left
 * to their teams and do not block the edit.
 */
export function checkEdit(
  document: StoredDocument,
  edit: { readonly section: string; readonly text: string; readonly file: string },
): readonly DocumentFault[] {
  const result = SectionParser.parseSection(edit.text, edit.file, edit.section);
  if (result.kind === 'faults') return result.faults;
  const edited = { name: edit.section, file: edit.file, content: result.content };
  const others = [...document.sections].flatMap(([name, state]) =>
    name === edit.section ? [] : parseState(name, state),
  );
  const state = document.sections.get(edit.section);
  const [stored] = state === undefined ? [] : parseState(edit.section, state);
  return [
    ...DocumentChecks.checkEdited(edited, others),
    ...DocumentChecks.checkOthers(edited, stored, others),
    ...DocumentChecks.checkCapacity(edited, [...others, edited]),
  ];
}

/** Finds faults of a file that do not depend on the rest of the document. */
export function checkStandalone(
  text: string,
  file: string,
  section: string,
): readonly DocumentFault[] {
  const result = SectionParser.parseSection(text, file, section);
  if (result.kind === 'faults') return result.faults;
  return DocumentChecks.checkStandaloneSection({ name: section, file, content: result.content });
}
