/** The whole stored document as an editor sees it, and what a new text of one section would break. */
import type { KeyValueUnavailable } from '@sequoiarill/types';

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
  const sections = range.entries.map((entry): [string, StoredState] => [
    entry.key.slice(StoredSection.SECTIONS_PREFIX.length),
    { ...StoredSection.decodeEnvelope(entry.value), revision: entry.revision },
  ]);
  return {
    kind: 'document',
    revision: range.revision,
    latestRevision: latest.entries[0]?.revision ?? 0,
    sections: new Map(sections),
  };
}

/** Stored sections that can be read; one that was damaged by other means does not block the rest. */
function listOthers(document: StoredDocument, without: string): readonly CheckedSection[] {
  return [...document.sections].flatMap(([name, { text }]): CheckedSection[] => {
    if (name === without) return [];
    const result = SectionParser.parseSection(text, 'platform', name);
    return result.kind === 'section' ? [{ name, file: 'platform', content: result.content }] : [];
  });
}

function parseStored(document: StoredDocument, section: string): readonly CheckedSection[] {
  const stored = document.sections.get(section);
  if (stored === undefined) return [];
  const result = SectionParser.parseSection(stored.text, 'platform', section);
  return result.kind === 'section'
    ? [{ name: section, file: 'platform', content: result.content }]
    : [];
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
  const others = listOthers(document, edit.section);
  const before = DocumentChecks.checkDocument([
    ...others,
    ...parseStored(document, edit.section),
  ]).map(SectionParser.formatFault);
  const known = new Set(before);
  const caused = DocumentChecks.checkDocument([...others, edited]).filter(
    (fault) => fault.section === edit.section || !known.has(SectionParser.formatFault(fault)),
  );
  return [...caused, ...DocumentChecks.checkCapacity(edited, [...others, edited])];
}

/** What a file has wrong by itself, without the rest of the document. */
export function checkAlone(text: string, file: string, section: string): readonly DocumentFault[] {
  const result = SectionParser.parseSection(text, file, section);
  if (result.kind === 'faults') return result.faults;
  return DocumentChecks.checkAloneSection({ name: section, file, content: result.content });
}
