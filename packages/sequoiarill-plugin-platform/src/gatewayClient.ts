/**
 * HTTP client of the platform's gateway, with endpoint failover, a timeout and a bounded response
 * size. The outcome of a failed call states whether the call can have taken effect.
 */
import * as Kernel from '@sequoiarill/kernel';
import * as Undici from 'undici';
import type { ZodType } from 'zod';

import * as Messages from './gatewayMessages';

/** The call reached no gateway, or the gateway rejected it before running it. */
export interface CallNotRun {
  readonly kind: 'notRun';
  readonly message: string;
}

/** The request was sent but no usable response arrived, so the call may have taken effect. */
export interface CallUnknown {
  readonly kind: 'unknown';
  readonly message: string;
}

/** The response exceeded the size limit. Only reads are repeated, with smaller pages. */
export interface CallTooLarge {
  readonly kind: 'tooLarge';
  readonly message: string;
}

export interface CallResponse<Payload> {
  readonly kind: 'answer';
  readonly response: Payload;
}

export type CallOutcome<Payload> = CallResponse<Payload> | CallNotRun | CallUnknown | CallTooLarge;

export interface GatewayClientOptions {
  /** `IP:port` of each gateway. The client stays with one for as long as it responds. */
  readonly endpoints: readonly string[];
  readonly callTimeoutMs: number;
  readonly credentials?: Readonly<{ username: string; password: string }>;
  /** Largest accepted response, in bytes. */
  readonly maxResponseBytes?: number;
}

export interface GatewayClient {
  readonly callGateway: <Payload>(
    path: string,
    body: object,
    schema: ZodType<Payload>,
  ) => Promise<CallOutcome<Payload>>;
  /** Opens a call whose response is a stream of lines, or returns undefined on failure. */
  readonly openStream: (
    path: string,
    body: object,
    signal: AbortSignal,
  ) => Promise<AsyncIterable<Uint8Array> | undefined>;
  /** Later calls use new connections. Those in progress keep theirs. */
  readonly renewConnections: () => void;
  readonly close: () => Promise<void>;
}

/** Leaves room for dozens of the largest values (1 MB each, a third more in base64). */
const MAX_RESPONSE_BYTES = 64 * 1_048_576;
/** Share of the call timeout, so that a failed connection is distinguished from a lost response. */
const CONNECT_TIMEOUT_SHARE = 0.5;
const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const HTTP_SERVER_ERROR = 500;

/** Errors that undici and the system raise only before any byte of the request was sent. */
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

function decodeResponse<Payload>(text: string, schema: ZodType<Payload>): CallOutcome<Payload> {
  try {
    // Streaming methods respond with one JSON object per line. A unary call needs only the first.
    const [line = ''] = text.split('\n', 1);
    const parsed = schema.safeParse(JSON.parse(line));
    if (parsed.success) return { kind: 'answer', response: parsed.data };
    return { kind: 'unknown', message: `unexpected response: ${parsed.error.message}` };
  } catch {
    return { kind: 'unknown', message: 'the response is not valid JSON' };
  }
}

export function createGatewayClient(options: GatewayClientOptions): GatewayClient {
  const { endpoints, callTimeoutMs, credentials } = options;
  const maxResponseBytes = options.maxResponseBytes ?? MAX_RESPONSE_BYTES;
  let agent = openAgent();
  /** Agents that were replaced and whose last calls are in progress. */
  const replacedAgents = new Set<Undici.Agent>();
  let activeIndex = 0;
  let token: string | undefined;

  function openAgent(): Undici.Agent {
    return new Undici.Agent({
      connect: { timeout: callTimeoutMs * CONNECT_TIMEOUT_SHARE },
      headersTimeout: callTimeoutMs,
      bodyTimeout: callTimeoutMs,
    });
  }

  async function closeReplaced(replaced: Undici.Agent): Promise<void> {
    replacedAgents.add(replaced);
    await replaced.close();
    replacedAgents.delete(replaced);
  }

  function getEndpoint(offset: number): string {
    return endpoints[(activeIndex + offset) % endpoints.length] as string;
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

  async function callEndpoint<Payload>(
    endpoint: string,
    path: string,
    body: object,
    schema: ZodType<Payload>,
  ): Promise<CallOutcome<Payload> | { readonly kind: 'unauthorized' }> {
    try {
      const signal = AbortSignal.timeout(callTimeoutMs);
      const response = await sendRequest(endpoint, path, body, signal);
      const text = await Kernel.readBoundedText(response.body, maxResponseBytes);
      if (text === undefined) return { kind: 'tooLarge', message: `${endpoint}: response too big` };
      if (response.statusCode === HTTP_OK) return decodeResponse(text, schema);
      if (response.statusCode === HTTP_UNAUTHORIZED) return { kind: 'unauthorized' };
      const message = `${endpoint}: status ${response.statusCode}: ${text.slice(0, 200)}`;
      // A 4xx status precedes the write; a 5xx status can follow it.
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
    token = outcome.response.token;
    return true;
  }

  async function callAuthorized<Payload>(
    endpoint: string,
    path: string,
    body: object,
    schema: ZodType<Payload>,
  ): Promise<CallOutcome<Payload>> {
    const outcome = await callEndpoint(endpoint, path, body, schema);
    if (outcome.kind !== 'unauthorized') return outcome;
    const refused: CallNotRun = { kind: 'notRun', message: `${endpoint}: credentials refused` };
    if (!(await updateToken(endpoint))) return refused;
    const retried = await callEndpoint(endpoint, path, body, schema);
    return retried.kind === 'unauthorized' ? refused : retried;
  }

  return {
    async callGateway(path, body, schema) {
      let outcome: CallOutcome<never> = { kind: 'notRun', message: 'no endpoint is configured' };
      for (let offset = 0; offset < endpoints.length; offset += 1) {
        const current = await callAuthorized(getEndpoint(offset), path, body, schema);
        if (current.kind === 'answer') activeIndex = (activeIndex + offset) % endpoints.length;
        // Not repeated elsewhere, since it may have taken effect; later calls go to another gateway.
        if (current.kind === 'unknown') activeIndex = (activeIndex + offset + 1) % endpoints.length;
        if (current.kind !== 'notRun') return current;
        outcome = current;
      }
      activeIndex = (activeIndex + 1) % Math.max(1, endpoints.length);
      return outcome;
    },
    async openStream(path, body, signal) {
      try {
        // A watch may be idle for hours, so it has no timeout; its reader detects outages by other
        // calls.
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
    renewConnections() {
      const replaced = agent;
      agent = openAgent();
      // An agent that was destroyed meanwhile can't be closed any more.
      closeReplaced(replaced).catch(() => undefined);
    },
    async close() {
      await Promise.all([agent, ...replacedAgents].map((open) => open.destroy()));
    },
  };
}
