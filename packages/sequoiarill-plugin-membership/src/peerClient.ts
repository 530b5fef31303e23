/** Calls other routers over tRPC, signed, and checks that the answer comes from one of them. */
import * as TrpcClient from '@trpc/client';
import * as Undici from 'undici';

import * as Messages from './messages';
import type { PeerAnswer, PeerCall, PeerProcedures, ProcedureName } from './messages';
import type { PeerRouter } from './peerRouter';
import * as Signatures from './signatures';

/** Between zones a millisecond or two, between regions some hundred; a pause of a second fits. */
const CALL_TIMEOUT_MS = 2_000;
/** Sections may be a megabyte, and the link may be the one that just healed. */
const SECTIONS_TIMEOUT_MS = 10_000;
/** Clients kept; a client is small, and the least used are made anew. */
const MAX_CLIENTS = 1_024;
const SECTIONS_PATH = '/listSections';
const HTTP_CONFLICT = 409;
const HTTP_ERRORS = 400;
/** Above the time between two calls to one peer of a large zone, so that connections are kept. */
const KEEP_ALIVE_MS = 55_000;

/** An answer that is not from this fleet. */
export class PeerAnswerError extends Error {
  override readonly name = 'PeerAnswerError';
}

interface SendOptions {
  readonly body: string;
}

interface SignedResponse {
  readonly ok: boolean;
  readonly status: number;
  readonly json: () => Promise<unknown>;
}

export interface PeerClientOptions {
  readonly key: Buffer;
  readonly getSelf: () => { readonly name: string; readonly incarnation: number };
  /** A peer has heard of this router with this higher incarnation. */
  readonly onOldIncarnation: (highest: number) => void;
}

export interface PeerTraffic {
  readonly calls: number;
  readonly failures: number;
  /** Of bodies; headers add about 500 bytes a call. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

export interface PeerClient {
  readonly callPeer: (call: PeerCall) => Promise<PeerAnswer>;
  readonly getTraffic: () => PeerTraffic;
  readonly close: () => Promise<void>;
}

type Client = TrpcClient.TRPCClient<PeerRouter>;

export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { key, getSelf, onOldIncarnation } = options;
  const clients = new Map<string, Client>();
  const dispatcher = new Undici.Agent({
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connections: 1,
    connect: { timeout: CALL_TIMEOUT_MS },
  });
  let counter = 0;
  let traffic: PeerTraffic = { calls: 0, failures: 0, bytesSent: 0, bytesReceived: 0 };

  async function sendSigned(target: string, request: SendOptions): Promise<SignedResponse> {
    const url = new URL(target);
    const { body } = request;
    const timeoutMs = url.pathname.endsWith(SECTIONS_PATH) ? SECTIONS_TIMEOUT_MS : CALL_TIMEOUT_MS;
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
    checkSignature({ callSignature, status, body: text }, headers[Signatures.HEADERS.signature]);
    const highest = headers[Signatures.HEADERS.incarnation];
    if (status === HTTP_CONFLICT && highest !== undefined) onOldIncarnation(Number(highest));
    return { ok: status < HTTP_ERRORS, status, json: async () => JSON.parse(text) as unknown };
  }

  function checkSignature(answer: Signatures.SignedAnswer, given: unknown): void {
    const expected = Signatures.signAnswer(key, answer);
    if (typeof given === 'string' && Signatures.isSameSignature(given, expected)) return;
    const fix = 'compare sharedKey and seeds';
    throw new PeerAnswerError(`answer ${answer.status} without the fleet's signature; ${fix}`);
  }

  function getClient(address: string): Client {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const [oldest] = clients.keys();
    if (clients.size >= MAX_CLIENTS && oldest !== undefined) clients.delete(oldest);
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

/** Checked also on this side: a peer may run another version. */
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
