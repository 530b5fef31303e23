/** Ends requests whose bodies are still arriving after they were answered. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as RunningTimes from './runningTime';

/** A caller that is still sending reads the answer first, and its connection is not reset before. */
const LINGER_MS = 1_000;

/**
 * Failure: Node.js reads and drops the rest of a body that nobody needs until its time limit, a minute or more, however
 * much arrives. So the connection is closed where the body has not ended shortly after the answer.
 */
export function closeIfUnread(
  request: IncomingMessage,
  response: ServerResponse,
  lingerMs = LINGER_MS,
): void {
  response.once('finish', () => {
    if (request.complete) return;
    const { socket } = request;
    const closeUnread = () => {
      if (!request.complete) socket.destroy();
    };
    // After a pause of this process, timers fire before the end of the body is read.
    const timer = setTimeout(() => RunningTimes.runAfterPendingReads(closeUnread), lingerMs);
    socket.once('close', () => clearTimeout(timer));
  });
}
