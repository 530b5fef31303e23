/** Control interface of a stand-in process: `POST /standin/fault` and `GET /standin/counters`. */
import type { ServerResponse } from 'node:http';

import * as Zod from 'zod';

import * as Http from './http';

export interface ControlOptions<Fault> {
  readonly schema: Zod.ZodType<Fault>;
  readonly setFault: (fault: Fault) => Promise<void>;
  readonly getCounters: () => unknown;
}

const CONTROL_PREFIX = '/standin/';

export function isControlRequest(exchange: Http.Exchange): boolean {
  return exchange.url.pathname.startsWith(CONTROL_PREFIX);
}

/**
 * Sends the response before injecting the fault, since some faults cut the connection of the
 * request.
 */
export async function handleControl<Fault>(
  options: ControlOptions<Fault>,
  exchange: Http.Exchange,
): Promise<void> {
  const { response } = exchange;
  if (exchange.method === 'GET') {
    Http.sendJson(response, 200, options.getCounters());
    return;
  }
  const parsed = options.schema.safeParse(Http.parseJson(exchange.body));
  if (!parsed.success) {
    const message = Zod.prettifyError(parsed.error);
    Http.sendJson(response, 400, { error: { message } });
    return;
  }
  const sent = waitUntilSent(response);
  Http.sendJson(response, 200, {});
  await sent;
  await options.setFault(parsed.data);
}

function waitUntilSent(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('finish', resolve);
    response.once('close', resolve);
    if (response.destroyed) resolve();
  });
}
