/** Keys of the document in the platform, and the envelope in which a section is stored. */
import * as Zod from 'zod';

export const SECTIONS_PREFIX = 'sections/';
export const VMS_PREFIX = 'vms/';
export const HISTORY_PREFIX = 'history/';
/** Marker that every accepted edit changes, so that an editor detects edits of other sections. */
export const LATEST_KEY = 'latest';

/** Text of a removed section. The key remains, so that its revision keeps increasing. */
export const TOMBSTONE_TEXT = '{}';

/** Uses the replaced revision, which is known before the write and increases with each one. */
export function formatHistoryKey(section: string, replacedRevision: number): string {
  // Padded, so that keys sort by age.
  return `${HISTORY_PREFIX}${section}/${String(replacedRevision).padStart(16, '0')}`;
}

const envelopeSchema = Zod.object({
  /** Unguessable id of an edit. Shows whether a write took effect if its response was lost. */
  writeId: Zod.string(),
  /** Wall-clock time, ISO 8601, for display only. */
  at: Zod.string(),
  author: Zod.string(),
  text: Zod.string(),
});

export type SectionEnvelope = Readonly<Zod.infer<typeof envelopeSchema>>;

const NO_ENVELOPE = { writeId: '', at: '', author: '' };

/** A value without an envelope was not written by the editor; the value itself is the text. */
export function decodeEnvelope(value: string): SectionEnvelope {
  try {
    const parsed = envelopeSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : { ...NO_ENVELOPE, text: value };
  } catch {
    return { ...NO_ENVELOPE, text: value };
  }
}

export function encodeEnvelope(envelope: SectionEnvelope): string {
  return JSON.stringify(envelope);
}
