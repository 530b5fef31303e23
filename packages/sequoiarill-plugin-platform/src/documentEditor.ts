/**
 * Edits one section of the stored document by compare-and-swap. If two operators edit the same
 * section, one edit succeeds and the other operator is shown the difference. Edits of different
 * sections both succeed.
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
  /** Origin of the text, for messages. */
  readonly file: string;
  /** Revision that the section must still have. Defaults to the revision that is read first. */
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
      /** Changes from the stored text to the text of the edit. */
      readonly differences: readonly Difference[];
    }
  /** Other sections changed during every attempt; nothing was written. */
  | { readonly kind: 'busy'; readonly message: string }
  | KeyValueUnavailable
  /** The response was lost and reading the section back failed as well. */
  | { readonly kind: 'unknown'; readonly message: string };

export interface DocumentEditor {
  readonly readDocument: () => Promise<StoredDocument | KeyValueUnavailable>;
  /** Finds faults that the text would have in the stored document, without writing it. */
  readonly checkSection: (
    edit: SectionEdit,
  ) => Promise<
    { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] } | KeyValueUnavailable
  >;
  readonly putSection: (edit: SectionEdit) => Promise<EditOutcome>;
  /** Lists the retained accepted texts, oldest first and ending with the one in effect. */
  readonly listHistory: (section: string) => Promise<readonly HistoryEntry[] | undefined>;
  /** Writes an earlier text again, as a new revision. */
  readonly revertSection: (
    section: string,
    toRevision: number,
  ) => Promise<EditOutcome | { readonly kind: 'noSuchRevision' }>;
}

/**
 * At tens of edits per second to other sections, most attempts fail. After this many, the operator
 * is asked to try again later.
 */
const MAX_ATTEMPTS = 40;
const RETRY_MS = 20;
const MAX_RETRY_MS = 400;

interface Attempt {
  readonly edit: SectionEdit;
  readonly writeId: string;
  readonly expectedRevision: number;
  readonly document: StoredDocument;
  /** Whether the response to an earlier attempt was lost. */
  readonly mayBeWritten: boolean;
}

/** The document has to be read again for another attempt. */
interface AttemptRetry {
  readonly kind: 'retry';
  readonly mayBeWritten: boolean;
}

function reportReadFailure(mayBeWritten: boolean, outcome: KeyValueUnavailable): EditOutcome {
  if (!mayBeWritten) return outcome;
  const message = `${outcome.message}; check "config history" later to see whether it was written`;
  return { kind: 'unknown', message };
}

function reportExhausted(mayBeWritten: boolean): EditOutcome {
  if (mayBeWritten) {
    const message = 'responses were lost; check "config history" before trying again';
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
    const historyWrites = await SectionHistory.buildHistoryWrites(
      store,
      edit.section,
      envelope,
      current,
    );
    return [
      { key, value: StoredSection.encodeEnvelope(envelope) },
      { key: StoredSection.LATEST_KEY, value: writeId },
      ...historyWrites,
    ];
  }

  async function reportConflict(attempt: Attempt, current: StoredState): Promise<EditOutcome> {
    const { edit, writeId, mayBeWritten } = attempt;
    if (mayBeWritten) {
      // Failure: the write took effect, its response was lost, and the text has been replaced
      // since. The history contains every accepted text and thus shows whether this one was
      // written.
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
  ): Promise<EditOutcome | AttemptRetry> {
    const { edit, document, mayBeWritten } = attempt;
    const outcome = await store.writeTransaction({
      comparisons: [
        {
          key: `${StoredSection.SECTIONS_PREFIX}${edit.section}`,
          revision: attempt.expectedRevision,
        },
        // Failure: two teams define the same name at the same time, and each text is valid alone.
        // The second write fails here, and the check against the new document then finds the
        // conflict.
        { key: StoredSection.LATEST_KEY, revision: document.latestRevision },
      ],
      writes: await buildWrites(attempt, current),
    });
    if (outcome.kind === 'written') return outcome;
    if (outcome.kind === 'unavailable') return reportReadFailure(mayBeWritten, outcome);
    // Failure: the response was lost after the write took effect. The next attempt finds the write
    // id in the section; if it is not there yet, the comparisons ensure that at most one write
    // succeeds.
    return { kind: 'retry', mayBeWritten: mayBeWritten || outcome.kind === 'unknown' };
  }

  async function runAttempt(attempt: Attempt): Promise<EditOutcome | AttemptRetry> {
    const { edit, writeId, expectedRevision, document } = attempt;
    const current = DocumentReader.getSection(document, edit.section);
    if (current.writeId === writeId) return { kind: 'written', revision: current.revision };
    if (current.revision !== expectedRevision) return reportConflict(attempt, current);
    if (current.revision !== 0 && current.text === edit.text) {
      return { kind: 'unchanged', revision: current.revision };
    }
    const faults = DocumentReader.checkEdit(document, edit);
    if (faults.length > 0) return { kind: 'faults', faults };
    return writeSection(attempt, current);
  }

  async function applyEdit(edit: SectionEdit): Promise<EditOutcome> {
    const writeId = createWriteId();
    let expectedRevision = edit.ifRevision;
    let mayBeWritten = false;
    let document = await readDocument();
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      if (document.kind === 'unavailable') return reportReadFailure(mayBeWritten, document);
      expectedRevision ??= DocumentReader.getSection(document, edit.section).revision;
      const outcome = await runAttempt({ edit, writeId, expectedRevision, document, mayBeWritten });
      if (outcome.kind !== 'retry') return outcome;
      mayBeWritten = outcome.mayBeWritten;
      await clock.waitMs(Math.min(MAX_RETRY_MS, RETRY_MS * (1 + count)) * nextRandom());
      document = await DocumentReader.updateDocument(store, document);
    }
    return reportExhausted(mayBeWritten);
  }

  async function listHistory(section: string): Promise<readonly HistoryEntry[] | undefined> {
    const history = await SectionHistory.readHistory(store, section);
    const document = await readDocument();
    if (history === undefined || document.kind === 'unavailable') return undefined;
    const current = document.sections.get(section);
    const isInHistory = history.some(({ revision }) => revision === current?.revision);
    return current === undefined || isInHistory ? history : [...history, current];
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
        return { kind: 'unavailable', message: 'the history could not be read' };
      }
      const found = history.find((entry) => entry.revision === toRevision);
      if (found === undefined) return { kind: 'noSuchRevision' };
      const ifRevision = history.at(-1)?.revision ?? 0;
      return applyEdit({ section, text: found.text, file: `revision ${toRevision}`, ifRevision });
    },
  };
}
