/** Baseline of bench:relay: a plain node:http server that forwards requests to one engine with undici. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import * as Undici from 'undici';

const [engine] = process.argv.slice(2);
const pool = new Undici.Pool(`http://${engine}`, { connections: 1_024, bodyTimeout: 0 });

const server = createServer((request, response) => {
  pool
    .request({
      path: request.url ?? '/',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: request,
    })
    .then((answer) => {
      response.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
      answer.body.pipe(response);
    })
    .catch(() => response.destroy());
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
});
