/** How an attempt at one engine can end, and which end follows from what was seen. */
import type { FinishReason } from '@sequoiarill/types';
import type * as Undici from 'undici';

/** How an engine was lost under an attempt. */
export type LossCause = 'refused' | 'reset' | 'endedEarly' | 'noFirstToken' | 'stalled' | 'broken';

export interface AttemptFinished {
  readonly kind: 'finished';
  readonly finishReason: FinishReason;
}

export interface AttemptLost {
  readonly kind: 'lost';
  readonly cause: LossCause;
  readonly message: string;
  /** False only if no byte of the request can have reached the engine. */
  readonly mayHaveRun: boolean;
}

/** The engine took nothing on. */
export interface AttemptBusy {
  readonly kind: 'busy';
  readonly retryAfterSeconds: number;
}

export interface AttemptRejected {
  readonly kind: 'rejected';
  readonly message: string;
  readonly parameter?: string;
}

export interface AttemptCancelled {
  readonly kind: 'cancelled';
}

export type AttemptResult =
  AttemptFinished | AttemptLost | AttemptBusy | AttemptRejected | AttemptCancelled;

/** How long the engine may keep the relay waiting, in milliseconds. */
export interface AttemptLimits {
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

const HTTP_SERVER_ERROR = 500;
/**
 * Answers that mean nothing was taken on: no such model any more, an old fencing number, a limit,
 * or no room. Another engine may still take the request.
 */
const RETRYABLE_STATUS_CODES = new Set([404, 409, 429, 503]);
const MAX_ERROR_BYTES = 65_536;
const DEFAULT_RETRY_AFTER_SECONDS = 1;
/** Code of undici's error for a connection that was not made in time. */
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

type Response = Undici.Dispatcher.ResponseData;

/** An answer other than 200: the engine did not take the request on. */
export async function readRefusal(response: Response): Promise<AttemptResult> {
  const text = await readLimited(response);
  const { statusCode } = response;
  if (RETRYABLE_STATUS_CODES.has(statusCode)) {
    const seconds = Number(response.headers['retry-after'] ?? DEFAULT_RETRY_AFTER_SECONDS);
    return { kind: 'busy', retryAfterSeconds: seconds > 0 ? seconds : DEFAULT_RETRY_AFTER_SECONDS };
  }
  if (statusCode >= HTTP_SERVER_ERROR) {
    return createLoss('broken', `the engine answered ${statusCode}`, true);
  }
  return { kind: 'rejected', ...parseError(text) };
}

async function readLimited(response: Response): Promise<string> {
  const chunks: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
    sizeBytes += bytes.length;
    if (sizeBytes > MAX_ERROR_BYTES) break;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseError(text: string): { readonly message: string; readonly parameter?: string } {
  try {
    const { error } = JSON.parse(text) as { error?: { message?: string; param?: string | null } };
    const message = error?.message ?? 'the engine refused the request';
    return error?.param ? { message, parameter: error.param } : { message };
  } catch {
    return { message: 'the engine refused the request' };
  }
}

export function createLoss(cause: LossCause, message: string, mayHaveRun: boolean): AttemptLost {
  return { kind: 'lost', cause, message, mayHaveRun };
}

export function createStallLoss(limits: AttemptLimits, hasTokens: boolean): AttemptLost {
  return hasTokens
    ? createLoss('stalled', `no token for ${Math.round(limits.gapMs)} ms`, true)
    : createLoss('noFirstToken', `no first token in ${Math.round(limits.firstTokenMs)} ms`, true);
}

/**
 * Errors of the connect itself come before undici writes a byte, so the engine cannot have the
 * request; after any other error it may have it. The code alone does not tell: an established
 * connection whose route breaks ends with `EHOSTUNREACH` as well, from another system call.
 */
export function createConnectionLoss(error: NodeJS.ErrnoException, isSent: boolean): AttemptLost {
  const isConnect = error.code === CONNECT_TIMEOUT_CODE || error.syscall === 'connect';
  return !isSent && isConnect
    ? createLoss('refused', error.message, false)
    : createLoss('reset', error.message, true);
}

export function createFinished(finishReason: FinishReason): AttemptFinished {
  return { kind: 'finished', finishReason };
}
