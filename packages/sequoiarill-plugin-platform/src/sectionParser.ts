/** Turns the text of one section into checked content, or into every fault that it has. */
import type { ZodType, core as ZodCore } from 'zod';

import * as DocumentSchema from './documentSchema';
import type { SectionContent } from './documentSchema';

/** One thing wrong with a document; all are reported at once. */
export interface DocumentFault {
  /** File the text came from; `platform` for what is stored. */
  readonly file: string;
  readonly section: string;
  /** Path to the value, such as `organisations.kleidermass.weight`. */
  readonly path: string;
  readonly reason: string;
}

export type SectionResult =
  | { readonly kind: 'section'; readonly content: SectionContent }
  | { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] };

/**
 * The platform holds values up to a megabyte. The envelope escapes the text (up to a third more), and
 * the same transaction carries the replaced text, compressed, into the history.
 */
export const MAX_SECTION_BYTES = 600_000;

export function formatFault(fault: DocumentFault): string {
  const place = fault.path === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.path}`;
  return `${fault.file}: ${place}: ${fault.reason}`;
}

function listIssueFaults(
  issue: ZodCore.$ZodIssue,
  place: Pick<DocumentFault, 'file' | 'section'>,
): readonly DocumentFault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      ...place,
      path: [...path, key].join('.'),
      reason: 'unknown key; remove it or mend its spelling',
    }));
  }
  if (issue.code === 'invalid_key') {
    const reason = issue.issues.map(({ message }) => message).join('; ');
    return [{ ...place, path: path.join('.'), reason: `bad name: ${reason}` }];
  }
  return [{ ...place, path: path.join('.'), reason: issue.message }];
}

function parseJson(text: string): { readonly value: unknown } | { readonly reason: string } {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch (error) {
    return { reason: `no valid JSON: ${(error as Error).message}` };
  }
}

export function parseWith<Content>(
  schema: ZodType<Content>,
  text: string,
  file: string,
  section: string,
):
  | { readonly kind: 'content'; readonly content: Content }
  | { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] } {
  const place = { file, section };
  const json = parseJson(text);
  if ('reason' in json) {
    return { kind: 'faults', faults: [{ ...place, path: '', reason: json.reason }] };
  }
  const parsed = schema.safeParse(json.value);
  if (parsed.success) return { kind: 'content', content: parsed.data };
  const faults = parsed.error.issues.flatMap((issue) => listIssueFaults(issue, place));
  return { kind: 'faults', faults };
}

/** Checks one section by itself; what it says about others is for the cross-section checks. */
export function parseSection(text: string, file: string, section: string): SectionResult {
  const bytes = Buffer.byteLength(text, 'utf8');
  if (bytes > MAX_SECTION_BYTES) {
    const reason = `${bytes} bytes are above ${MAX_SECTION_BYTES}; split the section in two`;
    return { kind: 'faults', faults: [{ file, section, path: '', reason }] };
  }
  const result = parseWith(DocumentSchema.sectionSchema, text, file, section);
  return result.kind === 'content' ? { kind: 'section', content: result.content } : result;
}
