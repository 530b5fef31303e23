/** Extracts the API key of a request. */

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Returns the key of an `Authorization: Bearer` header. */
export function parseBearer(header: string | undefined): string | undefined {
  return BEARER_PATTERN.exec(header ?? '')?.[1];
}
