/** Reads the directory of other routers, over tRPC. */
import * as TrpcClient from '@trpc/client';
import * as Undici from 'undici';

import * as Messages from './peerMessages';
import type { PeerRouter } from './peerServer';
import type { DirectoryRecord } from './recordLog';

export type PeerAnswer =
  | { readonly kind: 'records'; readonly records: readonly DirectoryRecord[] }
  | { readonly kind: 'failed'; readonly reason: string };

export interface PeerClient {
  readonly readRecords: (address: string, afterRevision: number) => Promise<PeerAnswer>;
  readonly close: () => Promise<void>;
}

/** A peer that lives answers within some milliseconds; one that is cut off must not hold others up. */
const CALL_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 400;

export function createPeerClient(): PeerClient {
  const dispatcher = new Undici.Agent({ connections: 1, connect: { timeout: CONNECT_TIMEOUT_MS } });

  async function sendCall(url: string, body: string) {
    const response = await Undici.request(url, {
      method: 'POST',
      body,
      headers: { 'content-type': 'application/json' },
      dispatcher,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return {
      ok: response.statusCode < 400,
      status: response.statusCode,
      json: async () => JSON.parse(text) as unknown,
    };
  }

  return {
    async readRecords(address, afterRevision) {
      const link = TrpcClient.httpLink<PeerRouter>({
        url: `http://${address}`,
        fetch: (input, init) => sendCall(String(input), String(init?.body ?? '')),
      });
      const client = TrpcClient.createTRPCClient<PeerRouter>({ links: [link] });
      try {
        const answer = await client.readRecords.mutate({ afterRevision });
        const { records } = Messages.recordsAnswerSchema.parse(answer);
        return {
          kind: 'records',
          records: records.map(({ key, revision, value }) =>
            value === undefined ? { key, revision } : { key, revision, value },
          ),
        };
      } catch (error) {
        return { kind: 'failed', reason: (error as Error).message };
      }
    },
    close: () => dispatcher.destroy(),
  };
}
