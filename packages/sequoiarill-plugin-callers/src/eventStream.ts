/** Sends server-sent events to one caller, with backpressure. */
import type { Clock } from '@sequoiarill/types';

import type { Exchange } from './exchange';
import * as Faults from './faults';
import type { Fault } from './faults';

const HTTP_OK = 200;

/** Sends status and headers; errors can no longer be reported as a status after this. */
export function startEventStream({ response, state }: Exchange): void {
  state.setState('sending');
  response.writeHead(HTTP_OK, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
    // Prevents buffering load balancers from delaying tokens.
    'x-accel-buffering': 'no',
  });
  response.socket?.setNoDelay(true);
}

/**
 * Waits until a slow caller has read what was written. This limits memory use: without it, Node.js
 * would buffer what the socket does not accept, up to the full answer of a caller that stops
 * reading. A caller that reads nothing for `timeoutMs` is disconnected, which ends half-open
 * connections.
 */
export async function waitForDrain(
  { response, state }: Exchange,
  clock: Clock,
  timeoutMs: number,
): Promise<void> {
  state.setState('blocked');
  const settled = new AbortController();
  const onSettled = (): void => settled.abort();
  response.once('drain', onSettled);
  response.once('close', onSettled);
  await clock.waitMs(timeoutMs, settled.signal);
  response.off('drain', onSettled);
  response.off('close', onSettled);
  if (!settled.signal.aborted) response.destroy();
  state.setState('sending');
}

/** Formats the final event of a failed stream; clients of the published APIs raise it as an error. */
export function formatErrorEvent(fault: Fault): string {
  return `event: error\ndata: ${Faults.formatFault(fault)}\n\n`;
}
