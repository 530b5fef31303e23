/** The API key that a request presents. */

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** The key in an `Authorization` header. */
export function parseBearer(header: string | undefined): string | undefined {
  return BEARER_PATTERN.exec(header ?? '')?.[1];
}
