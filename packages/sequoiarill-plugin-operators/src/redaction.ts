/** Removes secrets from data shown to operators, as a last safeguard. */

export const REDACTED = '[redacted]';

/** Matches a word of a name that indicates a secret, as in `apiKey`, `token` or `key_hashes`. */
const SECRET_WORD_PATTERN = /(token|key|secret|password|passphrase|credential|hash|salt)(s|es)?$/i;
/** Names of the platform's key-value service contain the word "key" but hold no secret. */
const PUBLIC_NAME = /key[-_ ]?values?/gi;
const WORD_BOUNDARY = /(?<=[a-z0-9])(?=[A-Z])|[-_. ]/;

/** Whether a field of this name could hold a secret. */
export function isSecretName(name: string): boolean {
  const words = name.replace(PUBLIC_NAME, '').split(WORD_BOUNDARY);
  return words.some((word) => SECRET_WORD_PATTERN.test(word));
}

/**
 * Replaces every string in or below a field whose name indicates a secret. Plug-ins must not dump
 * secrets; this protects against mistakes and depends on names only. Numbers and booleans are kept,
 * since operators need counts such as `tokens: 12`.
 */
export function removeSecrets(value: unknown, isSecret = false): unknown {
  if (typeof value === 'string') return isSecret ? REDACTED : value;
  if (Array.isArray(value)) return value.map((item) => removeSecrets(item, isSecret));
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).map(([name, field]) => [
    name,
    removeSecrets(field, isSecret || isSecretName(name)),
  ]);
  return Object.fromEntries(fields);
}
