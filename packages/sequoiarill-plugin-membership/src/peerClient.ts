/** Makes signed tRPC calls to other routers and verifies the signatures of their responses. */
import * as TrpcClient from '@trpc/client';
import * as Undici from 'undici';

import * as Messages from './messages';
import type { PeerCallResult, PeerCall, PeerProcedures, ProcedureName } from './messages';
import type { PeerRouter } from './peerRouter';
import * as Signatures from './signatures';

/** Calls take 1–2 ms between zones and about 100 ms between regions; allows for a pause of 1 s. */
const CALL_TIMEOUT_MS = 2_000;
/** A section may have 1 MB, and the network may have just recovered from a partition. */
const SECTIONS_TIMEOUT_MS = 10_000;
/** Of the timeout between two parts of a response: longest time of a call, also while parts arrive. */
const TRANSFER_FACTOR = 3;
/** A whole document that was accepted at once has up to 11.5 MB, which its quotes make up to twice as long. */
const MAX_RESPONSE_BYTES = 32 * 1_048_576;
/** Maximum number of cached clients; they are small, and the oldest one is evicted first. */
const MAX_CACHED_CLIENTS = 1_024;
const SECTIONS_PATH = '/listSections';
const HTTP_CONFLICT = 409;
const MIN_HTTP_ERROR_STATUS = 400;
/**
 * Exceeds the time between two calls to one peer in a large zone, so that connections are reused.
 */
const KEEP_ALIVE_MS = 55_000;

/** A response without a valid signature of this fleet. */
export class PeerResponseError extends Error {
  override readonly name = 'PeerResponseError';
}

interface RequestBody {
  readonly body: string;
}

interface FetchResponse {
  readonly ok: boolean;
  readonly status: number;
  readonly json: () => Promise<unknown>;
}

export interface PeerClientOptions {
  readonly key: Buffer;
  readonly getSelf: () => { readonly name: string; readonly incarnation: number };
  /** Called if a peer knows this router with a higher incarnation. */
  readonly onStaleIncarnation: (highestIncarnation: number) => void;
  /** Time until the response of a call begins, and then between two parts of it; another one for sections. */
  readonly timeoutMs?: number;
}

export interface PeerTraffic {
  readonly calls: number;
  readonly failures: number;
  /** Size of the bodies; headers add about 500 bytes per call. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

export interface PeerClient {
  readonly callPeer: (call: PeerCall) => Promise<PeerCallResult>;
  readonly getTraffic: () => PeerTraffic;
  readonly close: () => Promise<void>;
}

type Client = TrpcClient.TRPCClient<PeerRouter>;

export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { key, getSelf, onStaleIncarnation, timeoutMs: callTimeoutMs = CALL_TIMEOUT_MS } = options;
  const clients = new Map<string, Client>();
  const dispatcher = new Undici.Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connections: 1,
    connect: { timeout: CALL_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  let counter = 0;
  let traffic: PeerTraffic = { calls: 0, failures: 0, bytesSent: 0, bytesReceived: 0 };

  async function sendSigned(requestUrl: string, request: RequestBody): Promise<FetchResponse> {
    const url = new URL(requestUrl);
    const { body } = request;
    const timeoutMs = url.pathname.endsWith(SECTIONS_PATH) ? SECTIONS_TIMEOUT_MS : callTimeoutMs;
    const { name: from, incarnation } = getSelf();
    counter += 1;
    const path = `${url.pathname}${url.search}`;
    const call = { method: 'POST', to: url.host, path, from, incarnation, counter, body };
    const callSignature = Signatures.signCall(key, call);
    const response = await Undici.request(url, {
      method: 'POST',
      body,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(TRANSFER_FACTOR * timeoutMs),
      dispatcher,
      headers: {
        'content-type': 'application/json',
        [Signatures.HEADERS.from]: from,
        [Signatures.HEADERS.incarnation]: String(incarnation),
        [Signatures.HEADERS.counter]: String(counter),
        [Signatures.HEADERS.signature]: callSignature,
      },
    });
    const text = await response.body.text();
    traffic = {
      ...traffic,
      bytesSent: traffic.bytesSent + body.length,
      bytesReceived: traffic.bytesReceived + text.length,
    };
    const { statusCode: status, headers } = response;
    verifySignature({ callSignature, status, body: text }, headers[Signatures.HEADERS.signature]);
    const highest = headers[Signatures.HEADERS.incarnation];
    if (status === HTTP_CONFLICT && highest !== undefined) onStaleIncarnation(Number(highest));
    return {
      ok: status < MIN_HTTP_ERROR_STATUS,
      status,
      json: async () => JSON.parse(text) as unknown,
    };
  }

  function verifySignature(response: Signatures.SignedResponse, received: unknown): void {
    const expected = Signatures.signResponse(key, response);
    if (typeof received === 'string' && Signatures.isSameSignature(received, expected)) return;
    const fix = 'compare sharedKey and seeds';
    throw new PeerResponseError(
      `response ${response.status} has no valid signature of this fleet; ${fix}`,
    );
  }

  function getClient(address: string): Client {
    const existing = clients.get(address);
    if (existing !== undefined) return existing;
    const [oldest] = clients.keys();
    if (clients.size >= MAX_CACHED_CLIENTS && oldest !== undefined) clients.delete(oldest);
    const link = TrpcClient.httpLink<PeerRouter>({
      url: `http://${address}/peers`,
      fetch: (input, init) => sendSigned(String(input), { body: String(init?.body ?? '') }),
    });
    const client = TrpcClient.createTRPCClient<PeerRouter>({ links: [link] });
    clients.set(address, client);
    return client;
  }

  return {
    async callPeer(call) {
      traffic = { ...traffic, calls: traffic.calls + 1 };
      try {
        const output = await callProcedure(getClient(call.address), call);
        return { kind: 'answered', output };
      } catch (error) {
        traffic = { ...traffic, failures: traffic.failures + 1 };
        return { kind: 'failed', message: formatCause(error) };
      }
    },
    getTraffic: () => traffic,
    close: () => dispatcher.destroy(),
  };
}

/** Validates the output as well, because a peer may run another version. */
async function callProcedure(
  client: Client,
  call: PeerCall,
): Promise<PeerProcedures[ProcedureName]['output']> {
  const { procedure, input } = call;
  if (procedure === 'exchange') {
    return Messages.exchangeOutputSchema.parse(await client.exchange.mutate(input));
  }
  if (procedure === 'mergePeers') {
    return Messages.peersSchema.parse(await client.mergePeers.mutate(input));
  }
  if (procedure === 'listSections') {
    const output = await client.listSections.mutate(input);
    return Messages.sectionsOutputSchema.parse(output);
  }
  if (procedure === 'probe') {
    return Messages.probeOutputSchema.parse(await client.probe.mutate(input));
  }
  return Messages.pingOutputSchema.parse(await client.ping.mutate(input));
}

function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { cause } = error;
  return cause instanceof Error && cause.message !== '' && cause !== error
    ? formatCause(cause)
    : error.message;
}
