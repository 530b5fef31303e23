/** Keys of the document in the platform, and the envelope in which a section is stored. */
import * as Zod from 'zod';

export const SECTIONS_PREFIX = 'sections/';
export const VMS_PREFIX = 'vms/';
export const HISTORY_PREFIX = 'history/';
/** Changed by every accepted edit; lets an editor notice that another section moved meanwhile. */
export const LATEST_KEY = 'latest';

/** Text of a section that was removed; the key stays so that its revision goes on rising. */
export const TOMBSTONE_TEXT = '{}';

/** By the revision that the text replaces: known before the write, and rising with each one. */
export function formatHistoryKey(section: string, replacedRevision: number): string {
  // Padded, so that keys sort by age.
  return `${HISTORY_PREFIX}${section}/${String(replacedRevision).padStart(16, '0')}`;
}

const envelopeSchema = Zod.object({
  /** Unguessable, one for each attempt to write; tells whether a write with a lost answer happened. */
  writeId: Zod.string(),
  /** Wall clock, ISO 8601; for people only. */
  at: Zod.string(),
  author: Zod.string(),
  text: Zod.string(),
});

export type SectionEnvelope = Readonly<Zod.infer<typeof envelopeSchema>>;

const NO_ENVELOPE = { writeId: '', at: '', author: '' };

/** A value without an envelope was put there by other means than our editor; it is its own text. */
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
