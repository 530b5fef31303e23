/** Token estimate and prefix keys of a prompt that no engine has tokenised yet. */
import { createHash } from 'node:crypto';

import type { ChatMessage } from '@sequoiarill/types';

/** Typical of subword vocabularies for European languages; used for estimates only. */
const CHARACTERS_PER_TOKEN = 4;
/** Only the longest prefixes are compared: they suffice to tell long conversations apart. */
const MAX_PREFIX_KEYS = 6;

export function computePromptTokens(messages: readonly ChatMessage[]): number {
  const characters = messages.reduce((sum, message) => sum + message.content.length, 0);
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Digests of the prompt's prefixes that end at a message boundary, longest first. */
export function listPrefixKeys(model: string, messages: readonly ChatMessage[]): readonly string[] {
  const hash = createHash('sha1').update(model);
  const keys: string[] = [];
  for (const message of messages) {
    hash.update(`\u0000${message.role}\u0000${message.content}`);
    keys.unshift(hash.copy().digest('base64'));
  }
  return keys.slice(0, MAX_PREFIX_KEYS);
}
