/** A server for tests that answers each request with bytes that never end. */
import * as Net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

export interface EndlessAnswer {
  readonly start: string;
  /** Sent again and again, until the other side closes the connection. */
  readonly part: string;
}

const FILLER = 'a'.repeat(1_000);

function createChunkedAnswer(status: string, text: string): EndlessAnswer {
  return {
    start: `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n`,
    part: `${text.length.toString(16)}\r\n${text}\r\n`,
  };
}

export const ENDLESS_ANSWERS = {
  interim: { start: '', part: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'.repeat(20) },
  head: { start: 'HTTP/1.1 200 OK\r\n', part: `x-filler: ${FILLER}\r\n` },
  body: createChunkedAnswer('200 OK', FILLER),
  errorBody: createChunkedAnswer('500 Internal Server Error', FILLER),
  refusalBody: createChunkedAnswer('503 Service Unavailable', FILLER),
  comments: createChunkedAnswer('200 OK', `: ${FILLER}\n\n`),
  chunkExtension: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;',
    part: FILLER,
  },
  trailers: {
    start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n',
    part: `x-filler: ${FILLER}\r\n`,
  },
} as const satisfies Readonly<Record<string, EndlessAnswer>>;

export type EndlessAnswerName = keyof typeof ENDLESS_ANSWERS;

export interface EndlessServerOptions {
  readonly answer: EndlessAnswer;
  /** Pause after each part, in milliseconds; without one, parts are sent as fast as they are read. */
  readonly pauseMs?: number;
  /**
   * Bytes after which a connection is closed all the same, so that a reader without a bound fails its test and
   * does not take the memory of the machine.
   */
  readonly maxBytes?: number;
}

export interface EndlessServer {
  /** `IP:port`. */
  readonly address: string;
  /** Bytes that the largest answer had when its connection ended, or has by now. */
  readonly getLargestBytes: () => number;
  /** Resolves when no connection with an answer is open any more. A client may open idle ones ahead. */
  readonly waitUntilClosed: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

const DEFAULT_MAX_BYTES = 128 * 1_048_576;
const CHECK_INTERVAL_MS = 10;

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('drain', resolve);
  });
}

export async function startEndlessServer(options: EndlessServerOptions): Promise<EndlessServer> {
  const { answer, pauseMs = 0, maxBytes = DEFAULT_MAX_BYTES } = options;
  const sockets = new Set<Socket>();
  const busySockets = new Set<Socket>();
  let largestBytes = 0;

  async function sendAnswer(socket: Socket): Promise<void> {
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.write(answer.start);
    while (!socket.destroyed) {
      const isDrained = socket.write(answer.part);
      largestBytes = Math.max(largestBytes, socket.bytesWritten);
      if (socket.bytesWritten > maxBytes) socket.destroy();
      else if (pauseMs > 0) await waitMs(pauseMs);
      else if (!isDrained) await Promise.race([closed, waitForDrain(socket)]);
    }
  }

  const server = Net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => {
      sockets.delete(socket);
      busySockets.delete(socket);
    });
    socket.once('data', () => {
      busySockets.add(socket);
      socket.resume();
      sendAnswer(socket).catch(() => socket.destroy());
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    getLargestBytes: () => largestBytes,
    async waitUntilClosed() {
      while (busySockets.size > 0) await waitMs(CHECK_INTERVAL_MS);
    },
    async stop() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
