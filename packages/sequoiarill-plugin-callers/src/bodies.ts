/** Reads and parses request bodies of limited size. */
import type { IncomingMessage } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';

import * as Faults from './faults';
import type { ValidationResult, Fault } from './faults';

function createBodyTooLargeFault(maxBytes: number): Fault {
  return {
    status: 413,
    type: 'invalid_request_error',
    code: 'body_too_large',
    message: `The request body is larger than the ${maxBytes} bytes allowed; send less.`,
  };
}

/**
 * Reads the full body. Bytes above the limit are read and discarded: closing the connection while
 * the caller is still sending would reset it, and the caller would not receive the 413 response.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<ValidationResult<Buffer>> {
  const fault: ValidationResult<Buffer> = {
    kind: 'fault',
    fault: createBodyTooLargeFault(maxBytes),
  };
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    request.resume();
    return fault;
  }
  return new Promise((resolve) => {
    const body = Kernel.createBlockBuffer();
    request.on('data', (chunk: Buffer) => {
      if (body.countBytes() + chunk.length <= maxBytes) body.addBytes(chunk);
      else resolve(fault);
    });
    request.on('end', () => resolve({ kind: 'value', value: body.merge() }));
    request.on('error', () => resolve({ kind: 'fault', fault: BROKEN_BODY_FAULT }));
    request.on('close', () => resolve({ kind: 'fault', fault: BROKEN_BODY_FAULT }));
  });
}

const BROKEN_BODY_FAULT = Faults.createBadRequest('broken_body', 'The request body ended early.');

/** Parses a JSON body; the schemas check that it is an object. */
export function parseJson(body: Buffer): ValidationResult<unknown> {
  try {
    return { kind: 'value', value: JSON.parse(body.toString('utf8')) as unknown };
  } catch {
    const message = 'The request body is not valid JSON.';
    return { kind: 'fault', fault: Faults.createBadRequest('invalid_json', message) };
  }
}
