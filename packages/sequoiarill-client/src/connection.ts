/** Opens a stream, or tells why it cannot be opened. */
import * as Undici from 'undici';

import type { Position } from './progress';

/** Body of `POST /v1/responses`; every field of the published API may be given. */
export interface ResponseRequest extends Readonly<Record<string, unknown>> {
  readonly model: string;
  readonly input: unknown;
}

export interface StreamOpened {
  readonly kind: 'opened';
  readonly bytes: AsyncIterable<Uint8Array>;
}

/** The server answered with an error. */
export interface StreamRefused {
  readonly kind: 'refused';
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly retryAfterSeconds: number | undefined;
}

/** No answer came. */
export interface StreamUnreached {
  readonly kind: 'unreached';
  readonly message: string;
  /** False when the connection was refused, so that no byte of the request can have arrived. */
  readonly mayHaveArrived: boolean;
}

export type OpenResult = StreamOpened | StreamRefused | StreamUnreached;

export interface ConnectionOptions {
  /** Such as `https://gateway.example:8443`, without a path. */
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly dispatcher: Undici.Dispatcher;
}

export interface Connection {
  /** Starts the response, or reads on after `position` where it has begun already. */
  readonly openStream: (
    request: ResponseRequest,
    position: Position,
    signal: AbortSignal,
  ) => Promise<OpenResult>;
  /** Best effort: a response that cannot be cancelled ends by itself when nobody reads it. */
  readonly cancelResponse: (responseId: string) => Promise<void>;
}

interface ErrorBody {
  readonly error?: { readonly message?: string; readonly code?: string | null };
}

export function createConnection(options: ConnectionOptions): Connection {
  const { baseUrl, dispatcher } = options;
  const authorization = `Bearer ${options.apiKey}`;

  function sendStart(request: ResponseRequest, signal: AbortSignal): Promise<Undici.Response> {
    return Undici.fetch(`${baseUrl}/v1/responses`, {
      method: 'POST',
      headers: { authorization, 'content-type': 'application/json' },
      body: JSON.stringify({ ...request, stream: true }),
      signal,
      dispatcher,
    });
  }

  function sendResume(
    responseId: string,
    position: Position,
    signal: AbortSignal,
  ): Promise<Undici.Response> {
    const id = encodeURIComponent(responseId);
    const place = `stream=true&starting_after=${position.sequenceNumber}`;
    const cursor = position.eventId === undefined ? {} : { 'last-event-id': position.eventId };
    return Undici.fetch(`${baseUrl}/v1/responses/${id}?${place}`, {
      headers: { authorization, ...cursor },
      signal,
      dispatcher,
    });
  }

  async function openStream(
    request: ResponseRequest,
    position: Position,
    signal: AbortSignal,
  ): Promise<OpenResult> {
    try {
      const { responseId } = position;
      const response =
        responseId === undefined
          ? await sendStart(request, signal)
          : await sendResume(responseId, position, signal);
      if (!response.ok) return await buildRefused(response);
      return { kind: 'opened', bytes: response.body ?? createEmptyBytes() };
    } catch (error) {
      return buildUnreached(error);
    }
  }

  async function cancelResponse(responseId: string): Promise<void> {
    const url = `${baseUrl}/v1/responses/${encodeURIComponent(responseId)}/cancel`;
    const init = { method: 'POST', headers: { authorization }, dispatcher };
    await Undici.fetch(url, init).then(
      (response) => response.body?.cancel(),
      () => undefined,
    );
  }

  return { openStream, cancelResponse };
}

/** A 200 without a body is a stream that broke before its first event. */
async function* createEmptyBytes(): AsyncGenerator<Uint8Array, void, void> {
  yield* [];
}

async function buildRefused(response: Undici.Response): Promise<StreamRefused> {
  const text = await response.text();
  const error = parseError(text);
  const retryAfter = Number(response.headers.get('retry-after') ?? Number.NaN);
  return {
    kind: 'refused',
    status: response.status,
    code: error.code ?? 'unknown',
    message: error.message ?? `the server answered ${response.status}`,
    retryAfterSeconds: Number.isFinite(retryAfter) ? retryAfter : undefined,
  };
}

/** A balancer in front may answer with anything, not only with the published error form. */
function parseError(text: string): NonNullable<ErrorBody['error']> {
  try {
    return (JSON.parse(text) as ErrorBody).error ?? {};
  } catch {
    return {};
  }
}

const NOT_ARRIVED_CODES: readonly unknown[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];

function buildUnreached(error: unknown): StreamUnreached {
  const { cause } = error as { readonly cause?: { readonly code?: unknown } };
  const mayHaveArrived = !NOT_ARRIVED_CODES.includes(cause?.code);
  return { kind: 'unreached', message: formatCause(error), mayHaveArrived };
}

/** `fetch` puts what happened into the cause of its error. */
export function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.cause instanceof Error ? error.cause.message : error.message;
}
