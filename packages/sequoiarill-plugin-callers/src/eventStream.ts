/** Server-sent events towards one caller, at the pace the caller reads. */
import type { Clock } from '@sequoiarill/types';

import type { Exchange } from './exchange';
import * as Faults from './faults';
import type { Fault } from './faults';

const HTTP_OK = 200;

/** Sends the headers; nothing can be refused with a status after this. */
export function startEventStream({ response, state }: Exchange): void {
  state.setState('sending');
  response.writeHead(HTTP_OK, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
    // Keeps buffering balancers from holding tokens back.
    'x-accel-buffering': 'no',
  });
  response.socket?.setNoDelay(true);
}

/**
 * Waits until a slow caller has read what was written. The wait bounds memory: without it, Node.js
 * buffers what the socket does not take, and one caller that stops reading holds its whole answer
 * in memory. A caller that takes nothing for `limitMs` is treated as gone, so that a half-open
 * connection ends.
 */
export async function waitDrain(
  { response, state }: Exchange,
  clock: Clock,
  limitMs: number,
): Promise<void> {
  state.setState('blocked');
  const settled = new AbortController();
  const onSettled = (): void => settled.abort();
  response.once('drain', onSettled);
  response.once('close', onSettled);
  await clock.waitMs(limitMs, settled.signal);
  response.off('drain', onSettled);
  response.off('close', onSettled);
  if (!settled.signal.aborted) response.destroy();
  state.setState('sending');
}

/** Ends a stream that cannot go on; the clients of the published APIs raise it as an error. */
export function formatErrorEvent(fault: Fault): string {
  return `event: error\ndata: ${Faults.formatFault(fault)}\n\n`;
}
