/** Formats of the store's entries about blocked contents and parts. */
import type { ContentAnswer, ContentBlock, PartAnswer, PartBlock } from '@sequoiarill/types';
import * as Zod from 'zod';

/** State of a content in the store: blocked, or answered since the crashes. */
export type BlockEntry =
  | { readonly kind: 'block'; readonly block: ContentBlock }
  | { readonly kind: 'answer'; readonly answer: ContentAnswer };

/** State of a part of prompts in the store. */
export type PartEntry =
  | { readonly kind: 'block'; readonly block: PartBlock }
  | { readonly kind: 'answer'; readonly answer: PartAnswer };

const answerSchema = Zod.object({ kind: Zod.literal('answer'), ageMs: Zod.number().min(0) });

const valueSchema = Zod.discriminatedUnion('kind', [
  Zod.object({ kind: Zod.literal('block'), firstAgeMs: Zod.number().min(0) }),
  answerSchema,
]);

const partValueSchema = Zod.discriminatedUnion('kind', [
  Zod.object({
    kind: Zod.literal('block'),
    others: Zod.array(Zod.string()),
    organisation: Zod.string().optional(),
    targets: Zod.array(Zod.string()),
    firstAgeMs: Zod.number().min(0),
    lastAgeMs: Zod.number().min(0),
    failedTrials: Zod.number().int().min(0),
  }),
  answerSchema,
]);

function parseValue<Value>(schema: Zod.ZodType<Value>, text: string): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

export function encodeEntry(entry: BlockEntry): string {
  const { kind } = entry;
  return kind === 'block'
    ? JSON.stringify({ kind, firstAgeMs: Math.round(entry.block.firstAgeMs) })
    : JSON.stringify({ kind, ageMs: Math.round(entry.answer.ageMs) });
}

/** Counts ages from now. Undefined for a value that no router wrote. */
export function decodeEntry(content: string, value: string): BlockEntry | undefined {
  const parsed = parseValue(valueSchema, value);
  if (parsed === undefined) return undefined;
  const { kind, ...ages } = parsed;
  return 'firstAgeMs' in ages
    ? { kind: 'block', block: { content, ...ages, lastAgeMs: 0 } }
    : { kind: 'answer', answer: { content, ...ages } };
}

export function encodePartEntry(entry: PartEntry): string {
  const { kind } = entry;
  if (kind === 'answer') return JSON.stringify({ kind, ageMs: Math.round(entry.answer.ageMs) });
  const { part, firstAgeMs, lastAgeMs, ...block } = entry.block;
  const ages = { firstAgeMs: Math.round(firstAgeMs), lastAgeMs: Math.round(lastAgeMs) };
  return JSON.stringify({ kind, ...block, ...ages });
}

/** The same for a part of prompts. */
export function decodePartEntry(part: string, value: string): PartEntry | undefined {
  const parsed = parseValue(partValueSchema, value);
  if (parsed === undefined) return undefined;
  if (parsed.kind === 'answer') return { kind: 'answer', answer: { part, ageMs: parsed.ageMs } };
  const { kind, organisation, ...block } = parsed;
  const scope = organisation === undefined ? {} : { organisation };
  return { kind, block: { part, ...block, ...scope } };
}
