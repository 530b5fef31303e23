/** A server for tests that stops within the head of its answers. */
import * as Net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

export interface CutHeadServerOptions {
  /** Head of an answer, with the empty line at its end. */
  readonly head: string;
  /** Whether connections are reset instead of closed in order. */
  readonly isReset: boolean;
  /** Bytes of the head that the first request gets; 0 unless given. */
  readonly firstCut?: number;
}

export interface CutHeadServer {
  readonly address: string;
  /** Bytes of the head that the last request was answered with. */
  readonly getCut: () => number;
  readonly stop: () => Promise<void>;
}

/** Each request gets one byte of the head more than the one before, and never all of them. */
export async function startCutHeadServer({
  head,
  isReset,
  firstCut = 0,
}: CutHeadServerOptions): Promise<CutHeadServer> {
  const sockets = new Set<Socket>();
  let cut = firstCut - 1;
  const server = Net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      cut = (cut + 1) % head.length;
      socket.write(head.slice(0, cut), () => {
        if (isReset) socket.resetAndDestroy();
        else socket.end();
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    getCut: () => cut,
    async stop() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}

export interface CutHeads {
  /** Results of the calls that were no failure, with the bytes of the head that they got. */
  readonly taken: readonly (readonly [cut: number, result: string])[];
  readonly calls: number;
}

/** Makes a call for each byte of the head, over connections that close in order and that are reset. */
export async function callCutHeads(
  head: string,
  call: (address: string) => Promise<string>,
  failures: readonly string[],
): Promise<CutHeads> {
  const taken: [number, string][] = [];
  let calls = 0;
  for (const isReset of [false, true]) {
    const server = await startCutHeadServer({ head, isReset });
    for (let count = 0; count < head.length; count += 1) {
      const result = await call(server.address);
      if (!failures.includes(result)) taken.push([server.getCut(), result]);
      calls += 1;
    }
    await server.stop();
  }
  return { taken, calls };
}
