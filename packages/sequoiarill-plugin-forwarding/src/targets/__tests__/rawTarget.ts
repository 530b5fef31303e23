/** A target whose answers are bytes that a test writes to its connections. */
import * as Net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import type { HeaderNames } from '@sequoiarill/types';

import * as EngineCalls from '../engineCalls';
import type { EngineCaller } from '../engineCalls';
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

const WAIT_MS = 5_000;

/** `answer` is called for each request of the target that `run` calls. */
export async function runWithTarget<Result>(
  answer: (socket: Socket) => void,
  run: (target: RawTarget) => Promise<Result>,
): Promise<Result> {
  const target = await startRawTarget(answer);
  try {
    return await run(target);
  } finally {
    await target.close();
  }
}

/** Reads up to the event that ends the call; returns it with the number of bytes of the body. */
export async function readToEnd(call: TargetCall): Promise<readonly [kind: string, bytes: number]> {
  let bytes = 0;
  for (;;) {
    const event = await call.readEvent(WAIT_MS);
    if (event.kind === 'data') bytes += event.chunk.length;
    else if (event.kind !== 'head') return [event.kind, bytes];
  }
}

/** Sends calls of the router itself to the target, by real time and without limits. */
export function createCaller(
  { connections }: RawTarget,
  names: Pick<HeaderNames, 'requestId'>,
): EngineCaller {
  const clock = { getNowMs: () => performance.now(), getRunningMs: () => performance.now() };
  const notices = {
    recordHead: () => undefined,
    recordStart: () => () => undefined,
    isResting: () => false,
    createExcessRecord: () => () => undefined,
  };
  return EngineCalls.createEngineCaller(clock, connections, notices, names);
}

/** Writes the same bytes again and again, as fast as the reader takes them, until the connection closes. */
export function writeEndless(socket: Socket, bytes: Buffer | string): void {
  function writeMore(): void {
    while (!socket.destroyed && socket.write(bytes));
  }
  socket.on('drain', writeMore);
  writeMore();
}
