/** HTTP client for the operator listener of a process. */
import { readFileSync } from 'node:fs';

import * as Undici from 'undici';

/** A process that takes longer to report its state counts as unreachable. */
const CALL_TIMEOUT_MS = 5_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

export interface OperatorsResponse {
  readonly kind: 'answer';
  readonly body: unknown;
}

export interface OperatorsNotFound {
  readonly kind: 'notFound';
  readonly message: string;
}

/** The process could not be reached, or it refused the request. */
export interface OperatorsFailure {
  readonly kind: 'failure';
  readonly message: string;
}

export type OperatorsOutcome = OperatorsResponse | OperatorsNotFound | OperatorsFailure;

interface ErrorBody {
  readonly error?: { readonly message?: string };
}

export async function callOperators(
  address: string,
  path: string,
  token?: string,
): Promise<OperatorsOutcome> {
  try {
    const response = await Undici.request(`http://${address}${path}`, {
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const body = await response.body.json();
    if (response.statusCode === HTTP_OK) return { kind: 'answer', body };
    const message =
      (body as ErrorBody).error?.message ?? `responded with status ${response.statusCode}`;
    if (response.statusCode === HTTP_NOT_FOUND) return { kind: 'notFound', message };
    return { kind: 'failure', message: `${address}: ${message}` };
  } catch (error) {
    const hint = 'check that --at matches `listen` in the [operators] section of its settings';
    return { kind: 'failure', message: `cannot reach ${address}: ${formatCause(error)}; ${hint}` };
  }
}

/** Reads the token from a file, so that it does not appear in the process list. */
export function loadToken(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readFileSync(file, 'utf8').trim();
}

function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message === '' ? error.name : error.message;
}
