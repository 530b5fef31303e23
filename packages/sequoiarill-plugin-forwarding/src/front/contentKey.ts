/** Identifies repeated requests by their content, because each attempt of a caller has a new id. */
import * as Crypto from 'node:crypto';

export interface RequestContent {
  readonly method: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly organisation?: string;
  readonly body: Buffer;
}

/** Hexadecimal digits: 64 bits, so that a collision between the contents of a day is very unlikely. */
const KEY_LENGTH = 16;

/** No field can contain the separator, so field boundaries are unambiguous. */
const SEPARATOR = '\n';

/** Returns the same key for the same content on every router. */
export function computeContentKey(content: RequestContent): string {
  const { method, host, path, organisation = '', body } = content;
  const hash = Crypto.createHash('sha256');
  hash.update([method, host, path, organisation, ''].join(SEPARATOR));
  return hash.update(body).digest('hex').slice(0, KEY_LENGTH);
}
