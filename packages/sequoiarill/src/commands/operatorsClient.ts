/** Calls the operators' listener of one process. */
import { readFileSync } from 'node:fs';

import * as Undici from 'undici';

/** A process that takes longer to show its state is as good as away for an operator. */
const CALL_TIMEOUT_MS = 5_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

export interface OperatorsAnswer {
  readonly kind: 'answer';
  readonly body: unknown;
}

export interface OperatorsNotFound {
  readonly kind: 'notFound';
  readonly message: string;
}

/** The process could not be asked, or refused. */
export interface OperatorsFailure {
  readonly kind: 'failure';
  readonly message: string;
}

export type OperatorsOutcome = OperatorsAnswer | OperatorsNotFound | OperatorsFailure;

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
    const message = (body as ErrorBody).error?.message ?? `answered ${response.statusCode}`;
    if (response.statusCode === HTTP_NOT_FOUND) return { kind: 'notFound', message };
    return { kind: 'failure', message: `${address}: ${message}` };
  } catch (error) {
    const hint = 'check --at against `listen` in section [operators] of its settings';
    return { kind: 'failure', message: `cannot ask ${address}: ${formatCause(error)}; ${hint}` };
  }
}

/** Reads a token from a file, so that it shows in no process list. */
export function loadToken(file: string | undefined): string | undefined {
  return file === undefined ? undefined : readFileSync(file, 'utf8').trim();
}

function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message === '' ? error.name : error.message;
}
