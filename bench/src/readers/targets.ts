/** Plain targets with large and small answers. */
import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import * as Streams from 'node:stream/promises';

import * as Standins from '@sequoiarill/standins';

export const LARGE_BYTES = 8 * 1_048_576;
export const SMALL_BYTES = 1_024;
export const PATHS = {
  large: '/reads/large',
  /** Chunked instead of with a length. */
  chunked: '/reads/chunked',
  /** The target breaks the connection off after half of the answer. */
  broken: '/reads/broken',
  small: '/reads/small',
} as const;

/** All answers are of this one buffer, so that the targets hold little memory. */
const BLOCK = Buffer.alloc(65_536, 'x');

export interface PlainTarget {
  readonly address: string;
  readonly stop: () => Promise<void>;
}

function* createBlocks(bytes: number): Generator<Buffer> {
  for (let sent = 0; sent < bytes; sent += BLOCK.length) yield BLOCK;
}

async function sendAnswer(path: string, response: Http.ServerResponse): Promise<void> {
  if (path === PATHS.small) {
    response.setHeader('content-length', SMALL_BYTES);
    response.end(BLOCK.subarray(0, SMALL_BYTES));
    return;
  }
  if (path !== PATHS.chunked) response.setHeader('content-length', LARGE_BYTES);
  const isBroken = path === PATHS.broken;
  const blocks = Readable.from(createBlocks(isBroken ? LARGE_BYTES / 2 : LARGE_BYTES));
  await Streams.pipeline(blocks, response, { end: !isBroken });
  if (isBroken) response.socket?.resetAndDestroy();
}

export async function startPlainTarget(id: string): Promise<PlainTarget> {
  const server = Http.createServer((request, response) => {
    request.resume();
    const { url = '', headers } = request;
    if (url === '/healthz') {
      response.writeHead(200, { 'instance-id': id }).end();
      return;
    }
    const requestId = String(headers['request-id']);
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'instance-id': id, 'request-id': requestId }).end();
      return;
    }
    response.setHeader('request-id', requestId);
    response.setHeader('server-signature', Standins.formatSignature(id));
    sendAnswer(url, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    async stop() {
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
