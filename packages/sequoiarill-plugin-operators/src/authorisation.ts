/** Who may use the operators' listener. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

const SCHEME = /^Bearer +(\S+)$/i;
/** A balancer asks these without a token; they tell nothing but whether to send work. */
const OPEN_PATHS: ReadonlySet<string> = new Set(['/live', '/ready']);

/**
 * Tells whether a call may go on. The digests are of one length and compared in constant time, so
 * that the time of a refusal tells nothing about the token.
 */
export function isAuthorised(request: IncomingMessage, token: string | undefined): boolean {
  if (token === undefined) return true;
  const [path = ''] = (request.url ?? '').split('?');
  if (OPEN_PATHS.has(path)) return true;
  const given = SCHEME.exec(request.headers.authorization ?? '')?.[1] ?? '';
  return timingSafeEqual(hashText(given), hashText(token));
}

function hashText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
