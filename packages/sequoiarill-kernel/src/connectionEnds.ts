/** Tells apart the ways in which the other side has ended a connection. */
import type { Socket } from 'node:net';

/**
 * Calls `onReset` when the other side resets the connection; before listeners that are added later learn of its end.
 *
 * Failure: a reset that arrives together with the last data is reported as an orderly end, without an `error` event: the
 * end is taken from the poll event, and the connection is not read once more. The kernel knows no peer of a connection
 * that was reset, while one that was closed in order keeps its peer until both sides have closed it. Node.js keeps the
 * address once it was read, so nothing may read it before. On other systems than Linux, resets may be missed.
 */
export function watchReset(socket: Socket, onReset: () => void): void {
  socket.on('error', onReset);
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
