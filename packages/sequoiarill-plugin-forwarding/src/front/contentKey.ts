/** What tells a request that comes again apart from others: each attempt of a caller has another id. */
import * as Crypto from 'node:crypto';

export interface RequestContent {
  readonly method: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Path and query as they came. */
  readonly path: string;
  readonly organisation?: string;
  readonly body: Buffer;
}

/** Hexadecimal digits: 64 bits, so that two contents of a day hardly meet. */
const KEY_LENGTH = 16;

/** Fields cannot contain the separator, so that none runs into the next one. */
const SEPARATOR = '\n';

/** Equal for equal contents, on every router. */
export function computeContentKey(content: RequestContent): string {
  const { method, host, path, organisation = '', body } = content;
  const hash = Crypto.createHash('sha256');
  hash.update([method, host, path, organisation, ''].join(SEPARATOR));
  return hash.update(body).digest('hex').slice(0, KEY_LENGTH);
}
