/** Sends the HTTP requests that start, resume and cancel a response. */
import * as Undici from 'undici';

import type { Position } from './progress';

/** Body of `POST /v1/responses`; accepts all fields of the published API. */
export interface ResponseRequest extends Readonly<Record<string, unknown>> {
  readonly model: string;
  readonly input: unknown;
}

export interface StreamOpened {
  readonly kind: 'opened';
  readonly bytes: AsyncIterable<Uint8Array>;
  /** Closes the connection unless its response is complete. */
  readonly close: () => void;
}

/** The server responded with an error. */
export interface StreamRefused {
  readonly kind: 'refused';
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** No response was received. */
export interface StreamUnreachable {
  readonly kind: 'unreached';
  readonly message: string;
  /**
   * False if no connection was established, so that the server cannot have received the request.
   */
  readonly mayHaveArrived: boolean;
}

export type OpenResult = StreamOpened | StreamRefused | StreamUnreachable;

export interface ConnectionOptions {
  /** Scheme, host and port without a path, such as `https://gateway.example:8443`. */
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly dispatcher: Undici.Dispatcher;
  /** Longest time until a response begins, in milliseconds. */
  readonly headTimeoutMs?: number | undefined;
  /** Longest time for the body of an error, in milliseconds. */
  readonly errorBodyTimeoutMs?: number | undefined;
}

export interface Connection {
  /** Starts the response, or resumes it after `position` if it has already started. */
  readonly openStream: (
    request: ResponseRequest,
    position: Position,
    signal: AbortSignal,
  ) => Promise<OpenResult>;
  /** Best effort; errors are ignored, since the server ends a response that nobody reads. */
  readonly cancelResponse: (responseId: string) => Promise<void>;
}

/** Error bodies have a few hundred bytes; a load balancer's page has some KB. */
const MAX_ERROR_BYTES = 65_536;
/** Longest time for an error body, also while it arrives. */
const ERROR_BODY_TIMEOUT_MS = 10_000;
/** Longest time until a response begins, also while interim responses arrive; undici's own timeout for silence. */
const HEAD_TIMEOUT_MS = 300_000;
const CANCEL_TIMEOUT_MS = 10_000;

interface ErrorBody {
  readonly error?: { readonly message?: string; readonly code?: string | null };
}

export function createConnection(options: ConnectionOptions): Connection {
  const { baseUrl, dispatcher } = options;
  const { headTimeoutMs = HEAD_TIMEOUT_MS, errorBodyTimeoutMs = ERROR_BODY_TIMEOUT_MS } = options;
  const authorization = `Bearer ${options.apiKey}`;

  function sendStartRequest(
    request: ResponseRequest,
    signal: AbortSignal,
  ): Promise<Undici.Response> {
    return Undici.fetch(`${baseUrl}/v1/responses`, {
      method: 'POST',
      headers: { authorization, 'content-type': 'application/json' },
      body: JSON.stringify({ ...request, stream: true }),
      signal,
      dispatcher,
    });
  }

  function sendResumeRequest(
    responseId: string,
    position: Position,
    signal: AbortSignal,
  ): Promise<Undici.Response> {
    const id = encodeURIComponent(responseId);
    const query = `stream=true&starting_after=${position.sequenceNumber}`;
    const cursorHeader =
      position.eventId === undefined ? {} : { 'last-event-id': position.eventId };
    return Undici.fetch(`${baseUrl}/v1/responses/${id}?${query}`, {
      headers: { authorization, ...cursorHeader },
      signal,
      dispatcher,
    });
  }

  async function openStream(
    request: ResponseRequest,
    position: Position,
    signal: AbortSignal,
  ): Promise<OpenResult> {
    const controller = new AbortController();
    function close(): void {
      signal.removeEventListener('abort', close);
      controller.abort();
    }
    signal.addEventListener('abort', close);
    if (signal.aborted) close();
    let timer = setTimeout(close, headTimeoutMs);
    try {
      const { responseId } = position;
      const response =
        responseId === undefined
          ? await sendStartRequest(request, controller.signal)
          : await sendResumeRequest(responseId, position, controller.signal);
      clearTimeout(timer);
      if (response.ok) {
        return { kind: 'opened', bytes: response.body ?? createEmptyStream(), close };
      }
      timer = setTimeout(close, errorBodyTimeoutMs);
      const refused = await buildRefused(response);
      close();
      return refused;
    } catch (error) {
      close();
      return buildUnreachable(error);
    } finally {
      clearTimeout(timer);
    }
  }

  async function cancelResponse(responseId: string): Promise<void> {
    const url = `${baseUrl}/v1/responses/${encodeURIComponent(responseId)}/cancel`;
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    const init = { method: 'POST', headers: { authorization }, dispatcher, signal };
    await Undici.fetch(url, init).then(
      (response) => response.body?.cancel(),
      () => undefined,
    );
  }

  return { openStream, cancelResponse };
}

/** Represents a 200 response without a body: a stream that broke before its first event. */
async function* createEmptyStream(): AsyncGenerator<Uint8Array, void, void> {
  yield* [];
}

async function buildRefused(response: Undici.Response): Promise<StreamRefused> {
  const error = parseError(await readErrorText(response));
  const retryAfter = Number(response.headers.get('retry-after') ?? Number.NaN);
  return {
    kind: 'refused',
    status: response.status,
    code: error.code ?? 'unknown',
    message: error.message ?? `the server responded with status ${response.status}`,
    retryAfterSeconds: Number.isFinite(retryAfter) ? retryAfter : undefined,
  };
}

/** Returns an empty text for a body that is too long, or that does not end in time. */
async function readErrorText({ body }: Undici.Response): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of (body ?? createEmptyStream()) as AsyncIterable<Uint8Array>) {
      bytes += chunk.length;
      if (bytes > MAX_ERROR_BYTES) return '';
      chunks.push(chunk);
    }
  } catch {
    return '';
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Returns an empty object for other formats: a load balancer may respond with any body. */
function parseError(text: string): NonNullable<ErrorBody['error']> {
  try {
    return (JSON.parse(text) as ErrorBody).error ?? {};
  } catch {
    return {};
  }
}

const NOT_ARRIVED_CODES: readonly unknown[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

function buildUnreachable(error: unknown): StreamUnreachable {
  const { cause } = error as { readonly cause?: { readonly code?: unknown } };
  const mayHaveArrived = !NOT_ARRIVED_CODES.includes(cause?.code);
  return { kind: 'unreached', message: formatCause(error), mayHaveArrived };
}

/**
 * Returns the message of the underlying error, which `fetch` stores as the cause of its own error.
 */
export function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.cause instanceof Error ? error.cause.message : error.message;
}
