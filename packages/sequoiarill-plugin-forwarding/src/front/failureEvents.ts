/** Events 1990 to 1994: internal errors of the router at a caller's request. */
import type { IncomingMessage } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';

import * as Headers from './headers';
import type { ExchangeDependencies } from './replies';

export const HANDLER_FAILED = Kernel.defineEvent(
  1990,
  'error',
  'request.handlerFailed',
  'A request failed with an internal error of the router; report it with its stack. The caller was answered with 502, or its answer was broken off.',
);

export const FAILURE_EVENTS = [HANDLER_FAILED];

/** Names the request whose task failed with an internal error. */
export function logFailure(
  { log, wire }: Pick<ExchangeDependencies, 'log' | 'wire'>,
  incoming: IncomingMessage,
  error: unknown,
): void {
  const { rawHeaders, method } = incoming;
  const path = Kernel.getRequestTarget(incoming);
  const headers = Headers.listRawHeaders(rawHeaders);
  const request = Headers.findSingleValue(headers, wire.headers.requestId);
  log.logEvent(HANDLER_FAILED, { request, method, path, error });
}
