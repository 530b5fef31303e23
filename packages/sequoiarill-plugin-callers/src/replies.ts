/** Sends complete, non-streaming replies: JSON and errors. */
import type { ServerResponse } from 'node:http';

import * as Faults from './faults';
import type { Fault } from './faults';

const JSON_TYPE = 'application/json; charset=utf-8';

export function sendJson(response: ServerResponse, status: number, text: string): void {
  if (response.headersSent || response.destroyed) return;
  response.statusCode = status;
  response.setHeader('content-type', JSON_TYPE);
  response.setHeader('content-length', Buffer.byteLength(text));
  response.end(text);
}

export function sendFault(response: ServerResponse, fault: Fault): void {
  if (response.headersSent || response.destroyed) return;
  for (const [name, value] of Object.entries(fault.headers ?? {})) response.setHeader(name, value);
  if (fault.retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', String(fault.retryAfterSeconds));
  }
  sendJson(response, fault.status, Faults.formatFault(fault));
}
