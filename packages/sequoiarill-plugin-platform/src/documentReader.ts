/** The whole stored document as an editor sees it, and what a new text of one section would break. */
import type { KeyValueEntry, KeyValueUnavailable } from '@sequoiarill/types';

import * as DocumentChecks from './documentChecks';
import type { CheckedSection } from './documentChecks';
import type { PlatformStore } from './keyValueStore';
import type { HistoryEntry } from './sectionHistory';
import * as SectionParser from './sectionParser';
import type { DocumentFault } from './sectionParser';
import * as StoredSection from './storedSection';

/** A section as stored; revision 0 and an empty text for one that does not exist. */
export type StoredState = HistoryEntry;

export interface StoredDocument {
  readonly kind: 'document';
  /** Revision of the store at which it was read. */
  readonly revision: number;
  /** Revision of the last accepted edit of any section. */
  readonly latestRevision: number;
  readonly sections: ReadonlyMap<string, StoredState>;
}

const ABSENT: StoredState = {
  revision: 0,
  writeId: '',
  at: '',
  author: '',
  text: StoredSection.TOMBSTONE_TEXT,
};

export function getSection(document: StoredDocument, section: string): StoredState {
  return document.sections.get(section) ?? ABSENT;
}

function decodeState(entry: KeyValueEntry): [string, StoredState] {
  const name = entry.key.slice(StoredSection.SECTIONS_PREFIX.length);
  return [name, { ...StoredSection.decodeEnvelope(entry.value), revision: entry.revision }];
}

/**
 * The marker of the last edit is read before the sections, so an edit between the two reads makes the
 * comparison of the marker fail; the other order would let it go unseen.
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
 * The document as it is now, by reading only the sections that changed since.
 *
 * Pattern of load: tens of edits a second on different sections. Reading and checking the whole of a
 * large document for each attempt takes longer than the marker stays the same, so that nobody would
 * get through; sections that did not change keep their objects and what was parsed of them.
 */
export async function updateDocument(
  store: PlatformStore,
  known: StoredDocument,
): Promise<StoredDocument | KeyValueUnavailable> {
  const latest = await store.readKey(StoredSection.LATEST_KEY);
  if (latest.kind === 'unavailable') return latest;
  const newest = Math.max(0, ...[...known.sections.values()].map(({ revision }) => revision));
  const changed = await store.readChangedKeys(StoredSection.SECTIONS_PREFIX, newest);
  if (changed.kind === 'unavailable') return changed;
  const sections = new Map(known.sections);
  for (const { key } of changed.entries) {
    const range = await store.readKey(key);
    if (range.kind === 'unavailable') return range;
    range.entries.map(decodeState).forEach(([name, state]) => sections.set(name, state));
  }
  const latestRevision = latest.entries[0]?.revision ?? 0;
  return { kind: 'document', revision: changed.revision, latestRevision, sections };
}

/** What was parsed of a stored section, for as long as the section stays the same. */
const parsedByState = new WeakMap<StoredState, readonly CheckedSection[]>();

/** Empty for one that was damaged by other means; it does not block the rest. */
function parseState(name: string, state: StoredState): readonly CheckedSection[] {
  const known = parsedByState.get(state);
  if (known !== undefined) return known;
  const result = SectionParser.parseSection(state.text, 'platform', name);
  const sections: readonly CheckedSection[] =
    result.kind === 'section' ? [{ name, file: 'platform', content: result.content }] : [];
  parsedByState.set(state, sections);
  return sections;
}

/**
 * Every fault that the new text has or causes. Faults that other sections had before are theirs to
 * mend: they do not keep this team from its change.
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

/** What a file has wrong by itself, without the rest of the document. */
export function checkStandalone(
  text: string,
  file: string,
  section: string,
): readonly DocumentFault[] {
  const result = SectionParser.parseSection(text, file, section);
  if (result.kind === 'faults') return result.faults;
  return DocumentChecks.checkAloneSection({ name: section, file, content: result.content });
}
