/** Bodies of requests, bounded. */
import type { IncomingMessage } from 'node:http';

import * as Faults from './faults';
import type { Checked, Fault } from './faults';

function createTooLarge(maxBytes: number): Fault {
  return {
    status: 413,
    type: 'invalid_request_error',
    code: 'body_too_large',
    message: `The request body is larger than the ${maxBytes} bytes allowed; send less.`,
  };
}

/**
 * Reads a whole body. What is over the bound is read and thrown away, never kept: closing the
 * connection in the middle of it would reset it, and the caller would lose the answer 413.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Checked<Buffer>> {
  const fault: Checked<Buffer> = { kind: 'fault', fault: createTooLarge(maxBytes) };
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    request.resume();
    return fault;
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else resolve(fault);
    });
    request.on('end', () => resolve({ kind: 'value', value: Buffer.concat(chunks) }));
    request.on('error', () => resolve({ kind: 'fault', fault: BROKEN_BODY }));
    request.on('close', () => resolve({ kind: 'fault', fault: BROKEN_BODY }));
  });
}

const BROKEN_BODY = Faults.createInvalid('broken_body', 'The request body ended early.');

/** Parses a JSON body; anything but an object is refused. */
export function parseJson(body: Buffer): Checked<unknown> {
  try {
    return { kind: 'value', value: JSON.parse(body.toString('utf8')) as unknown };
  } catch {
    const message = 'The request body is not valid JSON.';
    return { kind: 'fault', fault: Faults.createInvalid('invalid_json', message) };
  }
}
