/** Converts messages and text to token ids deterministically. */
import * as Hashes from './hashes';

const BEGIN_OF_SEQUENCE = 1;
const END_OF_MESSAGE = 9;
const ROLE_IDS = { system: 3, developer: 4, user: 5, assistant: 6, tool: 7 } as const;
const PIECE_BASE = 10_000;
const PIECE_COUNT = 100_000;
const PIECE_SEED = 77;
/** At most six characters in a piece, close to what real tokenisers produce for prose. */
const PIECE_PATTERN = /\s?\S{1,6}|\s/gu;

export type TemplateRole = keyof typeof ROLE_IDS;

export interface TemplateMessage {
  readonly role: TemplateRole;
  readonly content: string;
}

export function encodeText(text: string): number[] {
  const pieces = text.match(PIECE_PATTERN) ?? [];
  return pieces.map((piece) => PIECE_BASE + (Hashes.hashText(piece, PIECE_SEED) % PIECE_COUNT));
}

/**
 * The chat template: each message is enclosed by its role and an end token; the assistant's role
 * follows.
 */
export function encodeMessages(messages: readonly TemplateMessage[]): number[] {
  const ids: number[] = [BEGIN_OF_SEQUENCE];
  for (const message of messages) {
    ids.push(ROLE_IDS[message.role], ...encodeText(message.content), END_OF_MESSAGE);
  }
  ids.push(ROLE_IDS.assistant);
  return ids;
}
