/** Limits what a target sends on a connection beside the bodies of its answers. */
import type { Socket } from 'node:net';

export type ConnectionSocket = Pick<Socket, 'bytesRead' | 'readableLength' | 'on'>;

export interface OverheadMeter {
  /** The bytes of each new socket count from here on. */
  readonly watchSocket: (socket: ConnectionSocket) => void;
  /** Counts anew, for the next answer or for a connection without a request. */
  readonly start: (handleExcess: (bytes: number) => void) => void;
  readonly addBodyBytes: (bytes: number) => void;
  readonly countOverhead: () => number;
}

/** Heads have up to 16 KB; a few heads of interim responses may precede one. */
const MAX_OVERHEAD_BYTES = 65_536;
/** Overhead for each byte of a body. Chunks of one byte have up to 12 with their framing. */
const MAX_OVERHEAD_SHARE = 16;

/**
 * Failure: a target sends interim responses, header fields, chunk extensions, trailers or empty lines without end. The
 * HTTP client parses them and has nothing to report, so no limit on answers applies. What the parser has taken
 * from the socket and was no byte of a body is overhead. It is checked after each read, which has up to 64 KB.
 */
export function createOverheadMeter(): OverheadMeter {
  let socket: ConnectionSocket | undefined;
  let startBytes = 0;
  let bodyBytes = 0;
  let onExcess: ((bytes: number) => void) | undefined;

  function countParsed(): number {
    return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
  }

  function countOverhead(): number {
    return countParsed() - startBytes - bodyBytes;
  }

  function checkOverhead(): void {
    const overhead = countOverhead();
    if (overhead <= MAX_OVERHEAD_BYTES + bodyBytes * MAX_OVERHEAD_SHARE) return;
    const handleExcess = onExcess;
    onExcess = undefined;
    handleExcess?.(overhead);
  }

  return {
    watchSocket(next) {
      socket = next;
      startBytes = 0;
      bodyBytes = 0;
      next.on('readable', checkOverhead);
    },
    start(handleExcess) {
      onExcess = handleExcess;
      startBytes = countParsed();
      bodyBytes = 0;
    },
    addBodyBytes(bytes) {
      bodyBytes += bytes;
    },
    countOverhead,
  };
}
