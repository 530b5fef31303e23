/**
 * One call to the platform's gateway over undici: endpoints in turn, a time limit, a bounded answer.
 * What matters to callers is whether a failed call can have taken effect.
 */
import * as Undici from 'undici';
import type { ZodType } from 'zod';

import * as Messages from './gatewayMessages';

/** The call reached no gateway, or the gateway refused it without running it. */
export interface CallNotRun {
  readonly kind: 'notRun';
  readonly message: string;
}

/** Bytes were sent and no usable answer came: it ran or it did not. */
export interface CallUnknown {
  readonly kind: 'unknown';
  readonly message: string;
}

/** The answer was longer than the bound; only reads are asked again in smaller parts. */
export interface CallTooLarge {
  readonly kind: 'tooLarge';
  readonly message: string;
}

export interface CallAnswer<Answer> {
  readonly kind: 'answer';
  readonly answer: Answer;
}

export type CallOutcome<Answer> = CallAnswer<Answer> | CallNotRun | CallUnknown | CallTooLarge;

export interface GatewayOptions {
  /** `IP:port` of each gateway; the first that takes a connection is kept. */
  readonly endpoints: readonly string[];
  readonly callTimeoutMs: number;
  readonly credentials?: Readonly<{ username: string; password: string }>;
  /** Longest answer taken in, in bytes. */
  readonly maxAnswerBytes?: number;
}

export interface GatewayCaller {
  readonly callGateway: <Answer>(
    path: string,
    body: object,
    schema: ZodType<Answer>,
  ) => Promise<CallOutcome<Answer>>;
  /** Opens a call whose answer is a stream of lines; undefined when none could be opened. */
  readonly openStream: (
    path: string,
    body: object,
    signal: AbortSignal,
  ) => Promise<AsyncIterable<Uint8Array> | undefined>;
  readonly close: () => Promise<void>;
}

/** A page of the largest values (1 MB, a third more in base64) fits many times over. */
const MAX_ANSWER_BYTES = 64 * 1_048_576;
/** A share of the call's time, so that a failed connection is told apart from a lost answer. */
const CONNECT_SHARE = 0.5;
const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const HTTP_SERVER_ERROR = 500;

/** Errors that undici and the system give only before any byte of the request was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function isNotSent(error: unknown): boolean {
  const { code } = error as { readonly code?: string };
  return code !== undefined && NOT_SENT_CODES.has(code);
}

function formatError(endpoint: string, error: unknown): string {
  const { code, message } = error as { readonly code?: string; readonly message?: string };
  return `${endpoint}: ${message === undefined || message === '' ? code : message}`;
}

/** Collects an answer up to the bound; undefined beyond it. */
async function readBounded(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.byteLength;
    if (size > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function decodeAnswer<Answer>(text: string, schema: ZodType<Answer>): CallOutcome<Answer> {
  try {
    // A streamed method answers with one object a line; a single call needs the first.
    const [line = ''] = text.split('\n', 1);
    const parsed = schema.safeParse(JSON.parse(line));
    if (parsed.success) return { kind: 'answer', answer: parsed.data };
    return { kind: 'unknown', message: `unexpected answer: ${parsed.error.message}` };
  } catch {
    return { kind: 'unknown', message: 'the answer is no JSON' };
  }
}

export function createGatewayCaller(options: GatewayOptions): GatewayCaller {
  const { endpoints, callTimeoutMs, credentials } = options;
  const maxAnswerBytes = options.maxAnswerBytes ?? MAX_ANSWER_BYTES;
  const agent = new Undici.Agent({
    connect: { timeout: callTimeoutMs * CONNECT_SHARE },
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
  });
  let preferred = 0;
  let token: string | undefined;

  function getEndpoint(offset: number): string {
    return endpoints[(preferred + offset) % endpoints.length] as string;
  }

  function sendRequest(endpoint: string, path: string, body: object, signal: AbortSignal) {
    return Undici.request(`http://${endpoint}${path}`, {
      method: 'POST',
      dispatcher: agent,
      headers: {
        'content-type': 'application/json',
        ...(token === undefined ? {} : { authorization: token }),
      },
      body: JSON.stringify(body),
      signal,
    });
  }

  async function callEndpoint<Answer>(
    endpoint: string,
    path: string,
    body: object,
    schema: ZodType<Answer>,
  ): Promise<CallOutcome<Answer> | { readonly kind: 'unauthorized' }> {
    try {
      const signal = AbortSignal.timeout(callTimeoutMs);
      const response = await sendRequest(endpoint, path, body, signal);
      const text = await readBounded(response.body, maxAnswerBytes);
      if (text === undefined) return { kind: 'tooLarge', message: `${endpoint}: answer too long` };
      if (response.statusCode === HTTP_OK) return decodeAnswer(text, schema);
      if (response.statusCode === HTTP_UNAUTHORIZED) return { kind: 'unauthorized' };
      const message = `${endpoint}: status ${response.statusCode}: ${text.slice(0, 200)}`;
      // A refusal (4xx) comes before the write; a server error can come after it.
      return { kind: response.statusCode < HTTP_SERVER_ERROR ? 'notRun' : 'unknown', message };
    } catch (error) {
      const message = formatError(endpoint, error);
      return { kind: isNotSent(error) ? 'notRun' : 'unknown', message };
    }
  }

  async function updateToken(endpoint: string): Promise<boolean> {
    if (credentials === undefined) return false;
    const { username: name, password } = credentials;
    const path = '/v3/auth/authenticate';
    const outcome = await callEndpoint(
      endpoint,
      path,
      { name, password },
      Messages.authenticationSchema,
    );
    if (outcome.kind !== 'answer') return false;
    token = outcome.answer.token;
    return true;
  }

  async function callAuthorized<Answer>(
    endpoint: string,
    path: string,
    body: object,
    schema: ZodType<Answer>,
  ): Promise<CallOutcome<Answer>> {
    const outcome = await callEndpoint(endpoint, path, body, schema);
    if (outcome.kind !== 'unauthorized') return outcome;
    const refused: CallNotRun = { kind: 'notRun', message: `${endpoint}: credentials refused` };
    if (!(await updateToken(endpoint))) return refused;
    const again = await callEndpoint(endpoint, path, body, schema);
    return again.kind === 'unauthorized' ? refused : again;
  }

  return {
    async callGateway(path, body, schema) {
      let outcome: CallOutcome<never> = { kind: 'notRun', message: 'no endpoint is set' };
      for (let offset = 0; offset < endpoints.length; offset += 1) {
        const current = await callAuthorized(getEndpoint(offset), path, body, schema);
        if (current.kind === 'answer') preferred = (preferred + offset) % endpoints.length;
        if (current.kind !== 'notRun') return current;
        outcome = current;
      }
      preferred = (preferred + 1) % Math.max(1, endpoints.length);
      return outcome;
    },
    async openStream(path, body, signal) {
      try {
        // A watch may be silent for hours; its reader notices an outage by calls beside it.
        const response = await Undici.request(`http://${getEndpoint(0)}${path}`, {
          method: 'POST',
          dispatcher: agent,
          headers: {
            'content-type': 'application/json',
            ...(token === undefined ? {} : { authorization: token }),
          },
          body: JSON.stringify(body),
          bodyTimeout: 0,
          signal,
        });
        if (response.statusCode === HTTP_OK) return response.body;
        await response.body.dump();
        return undefined;
      } catch {
        return undefined;
      }
    },
    close: () => agent.destroy(),
  };
}
