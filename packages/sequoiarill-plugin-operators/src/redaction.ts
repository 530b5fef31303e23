/** Last guard against secrets in what operators are shown. */

export const REDACTED = '[redacted]';

/** A name whose last part is one of these, such as `apiKey`, `token` or `key_hashes`. */
const SECRET_WORD = /(token|key|secret|password|passphrase|credential|hash|salt)(s|es)?$/i;
/** Names of the platform's service, which hold the word "key" and no secret. */
const HARMLESS_NAME = /key[-_ ]?values?/gi;
const WORD_BORDER = /(?<=[a-z0-9])(?=[A-Z])|[-_. ]/;

/** Tells whether a field of this name could hold a secret. */
export function isSecretName(name: string): boolean {
  const words = name.replace(HARMLESS_NAME, '').split(WORD_BORDER);
  return words.some((word) => SECRET_WORD.test(word));
}

/**
 * Replaces every text below a field with a secret's name. Plug-ins must not dump secrets in the
 * first place; this holds when one does by mistake, since it goes by the name alone. Numbers and
 * booleans stay: counts such as `tokens: 12` are what operators look for.
 */
export function selectPublic(value: unknown, isSecret = false): unknown {
  if (typeof value === 'string') return isSecret ? REDACTED : value;
  if (Array.isArray(value)) return value.map((item) => selectPublic(item, isSecret));
  if (typeof value !== 'object' || value === null) return value;
  const fields = Object.entries(value).map(([name, field]) => [
    name,
    selectPublic(field, isSecret || isSecretName(name)),
  ]);
  return Object.fromEntries(fields);
}
