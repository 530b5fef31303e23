/** Passes what a connection receives on to the HTTP parser in slices. */
import type { Socket } from 'node:net';

export interface ReadControl {
  /** Whether nothing more is to be parsed; the rest of what was received is dropped. */
  readonly isStopped: () => boolean;
  /** Whether the connection was refused: it is closed where its client goes on sending. */
  readonly isRefused: () => boolean;
  /** Number of requests that were parsed of this connection. */
  readonly countRequests: () => number;
}

/** Holds a few dozen of the shortest requests. */
const MIN_SLICE_BYTES = 512;
/** A part of a body, which costs little to parse. */
const MAX_SLICE_BYTES = 4_096;

/**
 * Failure: Node.js parses all requests of a read of 64 KB, some 2,000, before anything can be refused, and keeps them until
 * the first ones are answered. A few connections take the memory and the time of the process.
 *
 * Slices are short while they bring requests, and longer within a body. To be called with each connection when it is opened.
 */
export function splitReads(
  socket: Socket,
  { isStopped, isRefused, countRequests }: ReadControl,
): void {
  const [parse] = socket.listeners('data') as ((chunk: Buffer) => void)[];
  if (parse === undefined) return;
  let sliceBytes = MIN_SLICE_BYTES;
  let requests = 0;

  function parseSlice(slice: Buffer): void {
    parse?.(slice);
    const hasNew = countRequests() !== requests;
    requests = countRequests();
    sliceBytes = hasNew ? MIN_SLICE_BYTES : Math.min(MAX_SLICE_BYTES, 2 * sliceBytes);
  }

  function handleData(chunk: Buffer): void {
    if (isRefused()) socket.destroy();
    let offset = 0;
    while (offset < chunk.length && !socket.destroyed && !isStopped()) {
      const end = Math.min(chunk.length, offset + sliceBytes);
      parseSlice(chunk.subarray(offset, end));
      offset = end;
      if (socket.isPaused() && offset < chunk.length && !isStopped()) {
        // The parser takes nothing more until the answers, or the body, were taken.
        socket.unshift(chunk.subarray(offset));
        return;
      }
    }
  }

  socket.off('data', parse);
  socket.on('data', handleData);
}
