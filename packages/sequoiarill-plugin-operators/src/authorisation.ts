/** Authorises calls to the operators' listener. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;
/** Load balancers query these without a token; they reveal only the liveness and readiness. */
const UNAUTHENTICATED_PATHS: ReadonlySet<string> = new Set(['/live', '/ready']);

/**
 * Whether a call is authorised. Digests have equal lengths and are compared in constant time, so
 * that response times reveal nothing about the token.
 */
export function isAuthorised(request: IncomingMessage, token: string | undefined): boolean {
  if (token === undefined) return true;
  const [path = ''] = (request.url ?? '').split('?');
  if (UNAUTHENTICATED_PATHS.has(path)) return true;
  const presented = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1] ?? '';
  return timingSafeEqual(hashText(presented), hashText(token));
}

function hashText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
