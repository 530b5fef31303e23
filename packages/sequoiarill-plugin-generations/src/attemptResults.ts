/** Results of an attempt on one engine, and their derivation from responses and errors. */
import * as Kernel from '@sequoiarill/kernel';
import type { FinishReason } from '@sequoiarill/types';
import type * as Undici from 'undici';

/** How an engine was lost during an attempt. */
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

/** The engine did not accept the request; another engine may. */
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

/** Times after which the relay looks for another engine; the attempt is kept until there is one. */
export interface AttemptLimits {
  readonly firstTokenMs: number;
  readonly gapMs: number;
}

const HTTP_SERVER_ERROR = 500;
/**
 * Statuses of a request that the engine did not start: the model is no longer served (404), the
 * fencing number is outdated (409), a limit was reached (429), or there is no capacity (503).
 * Another engine may still accept the request.
 */
const RETRYABLE_STATUS_CODES = new Set([404, 409, 429, 503]);
const MAX_ERROR_BYTES = 65_536;
const DEFAULT_RETRY_AFTER_SECONDS = 1;
/** Error code of undici for a connect timeout. */
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

type Response = Undici.Dispatcher.ResponseData;

/** Converts a response with a status other than 200. */
export async function readRefusal(response: Response): Promise<AttemptResult> {
  const text = await readErrorText(response);
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

/** The status decides where the body is too long, or breaks off. */
async function readErrorText({ body }: Response): Promise<string> {
  const text = await Kernel.readBoundedText(body, MAX_ERROR_BYTES).catch(() => undefined);
  return text ?? '';
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

export function createStallLoss(silentMs: number, hasTokens: boolean): AttemptLost {
  return hasTokens
    ? createLoss('stalled', `no token for ${Math.round(silentMs)} ms`, true)
    : createLoss('noFirstToken', `no first token in ${Math.round(silentMs)} ms`, true);
}

/** Whether the engine was only silent; it may be sound. */
export function isSilenceLoss({ cause }: AttemptLost): boolean {
  return cause === 'stalled' || cause === 'noFirstToken';
}

/**
 * A connect error occurs before undici writes a byte, so the engine cannot have received the
 * request; after any other error it may have. The error code alone is not sufficient: an established
 * connection whose route breaks also fails with `EHOSTUNREACH`, but from another system call.
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
