/**
 * Edits one section of the stored document by compare-and-swap. Two operators on one section: one
 * wins, the other is told the difference. On two sections: both win.
 */
import { randomUUID } from 'node:crypto';

import type { Clock, KeyValueUnavailable, KeyWrite } from '@sequoiarill/types';

import * as DocumentDiff from './documentDiff';
import type { Difference } from './documentDiff';
import * as DocumentReader from './documentReader';
import type { StoredDocument, StoredState } from './documentReader';
import type { PlatformStore } from './keyValueStore';
import * as SectionHistory from './sectionHistory';
import type { HistoryEntry } from './sectionHistory';
import type { DocumentFault } from './sectionParser';
import * as StoredSection from './storedSection';

export interface DocumentEditorOptions {
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly nextRandom: () => number;
  readonly author: string;
  readonly createWriteId?: () => string;
}

export interface SectionEdit {
  readonly section: string;
  readonly text: string;
  /** Where the text came from, for messages. */
  readonly file: string;
  /** Revision the section must still have; what is read first when absent. */
  readonly ifRevision?: number;
}

export type EditOutcome =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'unchanged'; readonly revision: number }
  | { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly author: string;
      /** From what is stored now to what was to be written. */
      readonly differences: readonly Difference[];
    }
  /** Other sections changed under every attempt; nothing was written. */
  | { readonly kind: 'busy'; readonly message: string }
  | KeyValueUnavailable
  /** The answer was lost and reading back failed as well. */
  | { readonly kind: 'unknown'; readonly message: string };

export interface DocumentEditor {
  readonly readDocument: () => Promise<StoredDocument | KeyValueUnavailable>;
  /** Faults that the text would have in the stored document. */
  readonly checkSection: (
    edit: SectionEdit,
  ) => Promise<
    { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] } | KeyValueUnavailable
  >;
  readonly putSection: (edit: SectionEdit) => Promise<EditOutcome>;
  /** Every accepted text that is still kept, oldest first, the one in force last. */
  readonly listHistory: (section: string) => Promise<readonly HistoryEntry[] | undefined>;
  /** Goes forward: an earlier text becomes a new revision. */
  readonly revertSection: (
    section: string,
    toRevision: number,
  ) => Promise<EditOutcome | { readonly kind: 'noSuchRevision' }>;
}

/**
 * Tens of edits a second on other sections make an attempt fail more often than not; after so many
 * the operator is told to try again later.
 */
const MAX_ATTEMPTS = 40;
const RETRY_MS = 20;
const MAX_RETRY_MS = 400;

interface Attempt {
  readonly edit: SectionEdit;
  readonly writeId: string;
  readonly expected: number;
  readonly document: StoredDocument;
  /** An earlier attempt's answer was lost. */
  readonly mayBeWritten: boolean;
}

/** The document is to be read and the attempt made anew. */
interface AttemptAgain {
  readonly kind: 'again';
  readonly mayBeWritten: boolean;
}

function reportUnread(mayBeWritten: boolean, outcome: KeyValueUnavailable): EditOutcome {
  if (!mayBeWritten) return outcome;
  const message = `${outcome.message}; whether it was written shows in "config history" later`;
  return { kind: 'unknown', message };
}

function reportExhausted(mayBeWritten: boolean): EditOutcome {
  if (mayBeWritten) {
    const message = 'answers were lost; look into "config history" before trying again';
    return { kind: 'unknown', message };
  }
  const message = 'other sections changed during every attempt; nothing was written, try again';
  return { kind: 'busy', message };
}

export function createDocumentEditor(options: DocumentEditorOptions): DocumentEditor {
  const { store, clock, nextRandom, author } = options;
  const createWriteId = options.createWriteId ?? randomUUID;

  const readDocument = () => DocumentReader.readDocument(store);

  async function buildWrites(attempt: Attempt, current: StoredState): Promise<readonly KeyWrite[]> {
    const { edit, writeId } = attempt;
    const envelope = { writeId, at: clock.getWallTime(), author, text: edit.text };
    const key = `${StoredSection.SECTIONS_PREFIX}${edit.section}`;
    const kept = await SectionHistory.buildHistoryWrites(store, edit.section, envelope, current);
    return [
      { key, value: StoredSection.encodeEnvelope(envelope) },
      { key: StoredSection.LATEST_KEY, value: writeId },
      ...kept,
    ];
  }

  async function reportConflict(attempt: Attempt, current: StoredState): Promise<EditOutcome> {
    const { edit, writeId, mayBeWritten } = attempt;
    if (mayBeWritten) {
      // Failure: the write took effect, its answer was lost, and somebody replaced the text since.
      // The history tells, as it keeps every text that was accepted.
      const history = await SectionHistory.readHistory(store, edit.section);
      if (history === undefined) return reportExhausted(mayBeWritten);
      const found = history.find((entry) => entry.writeId === writeId);
      if (found !== undefined) return { kind: 'written', revision: found.revision };
    }
    const differences = DocumentDiff.compareTexts(current.text, edit.text);
    const { revision, author: otherAuthor } = current;
    return { kind: 'conflict', revision, author: otherAuthor, differences };
  }

  async function writeSection(
    attempt: Attempt,
    current: StoredState,
  ): Promise<EditOutcome | AttemptAgain> {
    const { edit, document, mayBeWritten } = attempt;
    const outcome = await store.writeTransaction({
      comparisons: [
        { key: `${StoredSection.SECTIONS_PREFIX}${edit.section}`, revision: attempt.expected },
        // Failure: two teams claim one name at the same moment; each text is right by itself. The
        // second one's write fails here, its check is done again on the new document and tells it.
        { key: StoredSection.LATEST_KEY, revision: document.latestRevision },
      ],
      writes: await buildWrites(attempt, current),
    });
    if (outcome.kind === 'written') return outcome;
    if (outcome.kind === 'unavailable') return reportUnread(mayBeWritten, outcome);
    // Failure: the answer was lost after the write took effect. The next look finds our write id; if
    // it is not there yet, the same comparisons let the write happen at most once.
    return { kind: 'again', mayBeWritten: mayBeWritten || outcome.kind === 'unknown' };
  }

  async function runAttempt(attempt: Attempt): Promise<EditOutcome | AttemptAgain> {
    const { edit, writeId, expected, document } = attempt;
    const current = DocumentReader.getSection(document, edit.section);
    if (current.writeId === writeId) return { kind: 'written', revision: current.revision };
    if (current.revision !== expected) return reportConflict(attempt, current);
    if (current.revision !== 0 && current.text === edit.text) {
      return { kind: 'unchanged', revision: current.revision };
    }
    const faults = DocumentReader.checkEdit(document, edit);
    if (faults.length > 0) return { kind: 'faults', faults };
    return writeSection(attempt, current);
  }

  async function applyEdit(edit: SectionEdit): Promise<EditOutcome> {
    const writeId = createWriteId();
    let expected = edit.ifRevision;
    let mayBeWritten = false;
    let document = await readDocument();
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      if (document.kind === 'unavailable') return reportUnread(mayBeWritten, document);
      expected ??= DocumentReader.getSection(document, edit.section).revision;
      const outcome = await runAttempt({ edit, writeId, expected, document, mayBeWritten });
      if (outcome.kind !== 'again') return outcome;
      mayBeWritten = outcome.mayBeWritten;
      await clock.waitMs(Math.min(MAX_RETRY_MS, RETRY_MS * (1 + count)) * nextRandom());
      document = await DocumentReader.updateDocument(store, document);
    }
    return reportExhausted(mayBeWritten);
  }

  async function listHistory(section: string): Promise<readonly HistoryEntry[] | undefined> {
    const earlier = await SectionHistory.readHistory(store, section);
    const document = await readDocument();
    if (earlier === undefined || document.kind === 'unavailable') return undefined;
    const current = document.sections.get(section);
    const isKept = earlier.some(({ revision }) => revision === current?.revision);
    return current === undefined || isKept ? earlier : [...earlier, current];
  }

  return {
    readDocument,
    async checkSection(edit) {
      const document = await readDocument();
      if (document.kind === 'unavailable') return document;
      return { kind: 'faults', faults: DocumentReader.checkEdit(document, edit) };
    },
    putSection: applyEdit,
    listHistory,
    async revertSection(section, toRevision) {
      const history = await listHistory(section);
      if (history === undefined) {
        return { kind: 'unavailable', message: 'the history was not read' };
      }
      const found = history.find((entry) => entry.revision === toRevision);
      if (found === undefined) return { kind: 'noSuchRevision' };
      const ifRevision = history.at(-1)?.revision ?? 0;
      return applyEdit({ section, text: found.text, file: `revision ${toRevision}`, ifRevision });
    },
  };
}
