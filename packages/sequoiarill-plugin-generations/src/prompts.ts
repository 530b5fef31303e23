/** What the decisions need to know of a prompt before any engine has tokenised it. */
import { createHash } from 'node:crypto';

import type { ChatMessage } from '@sequoiarill/types';

/** Common for subword vocabularies on European languages; only estimates rest on it. */
const CHARACTERS_PER_TOKEN = 4;
/** Prefixes longer than this many messages are told apart by their last ones anyway. */
const MAX_PREFIX_KEYS = 6;

export function computePromptTokens(messages: readonly ChatMessage[]): number {
  const characters = messages.reduce((sum, message) => sum + message.content.length, 0);
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Digests of the prompt's prefixes by whole messages, longest first. */
export function listPrefixKeys(model: string, messages: readonly ChatMessage[]): readonly string[] {
  const hash = createHash('sha1').update(model);
  const keys: string[] = [];
  for (const message of messages) {
    hash.update(`\u0000${message.role}\u0000${message.content}`);
    keys.unshift(hash.copy().digest('base64'));
  }
  return keys.slice(0, MAX_PREFIX_KEYS);
}
