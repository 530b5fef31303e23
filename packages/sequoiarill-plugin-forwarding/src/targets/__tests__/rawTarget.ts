/** A target whose answers are bytes that a test writes to its connections. */
import * as Net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import * as TargetCalls from '../targetCall';
import type { CallOptions, TargetCall } from '../targetCall';
import * as TargetConnections from '../targetConnections';

export interface RawTarget {
  readonly address: string;
  readonly connections: TargetConnections.TargetConnections;
  readonly openCall: (options?: Partial<CallOptions>) => TargetCall;
  /** Resolves when all connections that were opened are closed. */
  readonly waitClosed: () => Promise<void>;
  readonly countConnections: () => number;
  readonly countSent: () => number;
  /** Phases and bytes of the calls that were cut for what the target sent. */
  readonly excesses: (readonly [phase: string, bytes: number])[];
  readonly close: () => Promise<void>;
}

/** `answer` is called for each request. */
export async function startRawTarget(answer: (socket: Socket) => void): Promise<RawTarget> {
  const sockets: Socket[] = [];
  const closed: Promise<void>[] = [];
  const server = Net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
    closed.push(
      new Promise((resolve) => {
        socket.once('close', () => resolve());
      }),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const connections = TargetConnections.createTargetConnections({
    getNowMs: () => performance.now(),
  });
  const excesses: [string, number][] = [];
  return {
    address,
    connections,
    openCall: (options = {}) =>
      TargetCalls.openCall({
        connection: connections.takeConnection({ id: 't1', address, startedAtUnixMs: 1 }),
        target: { address },
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        recordHead: () => undefined,
        recordExcess: (phase, bytes) => excesses.push([phase, bytes]),
        ...options,
      }),
    waitClosed: async () => {
      await Promise.all(closed);
    },
    countConnections: () => sockets.length,
    countSent: () => sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0),
    excesses,
    async close() {
      connections.close();
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}

/** Writes the same bytes again and again, as fast as the reader takes them, until the connection closes. */
export function writeEndless(socket: Socket, bytes: Buffer | string): void {
  function writeMore(): void {
    while (!socket.destroyed && socket.write(bytes));
  }
  socket.on('drain', writeMore);
  writeMore();
}
