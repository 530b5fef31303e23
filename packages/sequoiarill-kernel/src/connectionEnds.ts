/** Tells apart the ways in which the other side has ended a connection. */
import type { Socket } from 'node:net';

/**
 * Whether the other side has reset the connection. To be called first of all listeners of the socket's `end` event.
 *
 * Failure: a reset that arrives together with the last data is reported as an orderly end, without an `error` event: the
 * end is taken from the poll event, and the connection is not read once more. The kernel knows no peer of a connection
 * that was reset, while one that was closed in order keeps its peer until both sides have closed it. Node.js keeps the
 * address once it was read, so nothing may read it before. On other systems than Linux, resets may be missed.
 */
export function isReset({ remoteAddress }: Pick<Socket, 'remoteAddress'>): boolean {
  return remoteAddress === undefined;
}
