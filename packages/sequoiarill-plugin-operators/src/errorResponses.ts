/** Error responses of the operators' listener. */
import type { ServerResponse } from 'node:http';

export interface ErrorBody {
  readonly error: { readonly code: string; readonly message: string };
}

export function createErrorBody(code: string, message: string): ErrorBody {
  return { error: { code, message } };
}

/** Sends an error response, or only ends the response if its headers have been sent. */
export function sendError(
  response: ServerResponse,
  status: number,
  code: string,
  message: string,
): void {
  if (response.headersSent) {
    response.end();
    return;
  }
  response.writeHead(status, { 'content-type': 'application/json; charset=utf-8' });
  response.end(JSON.stringify(createErrorBody(code, message)));
}
