/** Ends requests whose bodies are still arriving after they were answered. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import * as RunningTimes from './runningTime';

/** A caller that is still sending reads the answer first, and its connection is not reset before. */
const LINGER_MS = 1_000;

/** Resolves when the body has ended, or a moment later; the request is to be read or dropped meanwhile. */
export async function waitForRest(request: IncomingMessage, lingerMs = LINGER_MS): Promise<void> {
  if (request.complete) return;
  await new Promise<void>((resolve) => {
    // After a pause of this process, timers fire before the end of the body is read.
    const timer = setTimeout(() => RunningTimes.runAfterPendingReads(resolve), lingerMs);
    const endWait = () => {
      clearTimeout(timer);
      resolve();
    };
    request.once('end', endWait);
    request.socket.once('close', endWait);
  });
}

/**
 * Failure: Node.js reads and drops the rest of a body that nobody needs until its time limit, a minute or more, however
 * much arrives. So the connection is closed where the body has not ended shortly after the answer.
 */
export function closeIfUnread(
  request: IncomingMessage,
  response: ServerResponse,
  lingerMs = LINGER_MS,
): void {
  const closeUnread = () => {
    if (!request.complete) request.socket.destroy();
  };
  response.once('finish', () => {
    waitForRest(request, lingerMs).then(closeUnread, closeUnread);
  });
}
