/** Parses the text of one section into validated content, or into all faults that it has. */
import type { ZodType, core as ZodCore } from 'zod';

import * as DocumentSchema from './documentSchema';
import type { SectionContent } from './documentSchema';

/** One fault of a document. All faults are reported together. */
export interface DocumentFault {
  /** File of the text, or `platform` for a stored one. */
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
 * The platform limits values to 1 MB. The envelope escapes the text, which adds up to a third, and
 * the same transaction also writes the replaced text to the history, compressed.
 */
export const MAX_SECTION_BYTES = 600_000;

export function formatFault(fault: DocumentFault): string {
  const location = fault.path === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.path}`;
  return `${fault.file}: ${location}: ${fault.reason}`;
}

function listIssueFaults(
  issue: ZodCore.$ZodIssue,
  location: Pick<DocumentFault, 'file' | 'section'>,
): readonly DocumentFault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      ...location,
      path: [...path, key].join('.'),
      reason: 'unknown key; remove it or mend its spelling',
    }));
  }
  if (issue.code === 'invalid_key') {
    const reason = issue.issues.map(({ message }) => message).join('; ');
    return [{ ...location, path: path.join('.'), reason: `invalid name: ${reason}` }];
  }
  return [{ ...location, path: path.join('.'), reason: issue.message }];
}

function parseJson(text: string): { readonly value: unknown } | { readonly reason: string } {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch (error) {
    return { reason: `no valid JSON: ${(error as Error).message}` };
  }
}

export function parseWithSchema<Content>(
  schema: ZodType<Content>,
  text: string,
  file: string,
  section: string,
):
  | { readonly kind: 'content'; readonly content: Content }
  | { readonly kind: 'faults'; readonly faults: readonly DocumentFault[] } {
  const location = { file, section };
  const json = parseJson(text);
  if ('reason' in json) {
    return { kind: 'faults', faults: [{ ...location, path: '', reason: json.reason }] };
  }
  const parsed = schema.safeParse(json.value);
  if (parsed.success) return { kind: 'content', content: parsed.data };
  const faults = parsed.error.issues.flatMap((issue) => listIssueFaults(issue, location));
  return { kind: 'faults', faults };
}

/** Validates one section alone. References to other sections are checked separately. */
export function parseSection(text: string, file: string, section: string): SectionResult {
  const bytes = Buffer.byteLength(text, 'utf8');
  if (bytes > MAX_SECTION_BYTES) {
    const reason = `${bytes} bytes are above ${MAX_SECTION_BYTES}; split the section in two`;
    return { kind: 'faults', faults: [{ file, section, path: '', reason }] };
  }
  const result = parseWithSchema(DocumentSchema.sectionSchema, text, file, section);
  return result.kind === 'content' ? { kind: 'section', content: result.content } : result;
}
