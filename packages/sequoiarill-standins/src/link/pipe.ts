/** Forwards one direction of one connection. */
import type { Socket } from 'node:net';

export type PipeMode = 'open' | 'cut' | 'stalled';

export interface PipeListener {
  readonly onForwarded: (bytes: number) => void;
  readonly onDropped: (bytes: number) => void;
}

export interface Pipe {
  readonly setMode: (mode: PipeMode) => void;
}

export function createPipe(
  source: Socket,
  sink: Socket,
  initialMode: PipeMode,
  listener: PipeListener,
): Pipe {
  let mode = initialMode;
  let hasDroppedBytes = false;
  /** Set if the source closed while the pipe is cut, stalled or has dropped bytes. */
  let pendingClose: (() => void) | undefined;

  function sendChunk(chunk: Buffer): void {
    if (mode === 'cut') hasDroppedBytes = true;
    if (hasDroppedBytes) {
      listener.onDropped(chunk.length);
      return;
    }
    listener.onForwarded(chunk.length);
    if (!sink.write(chunk)) source.pause();
  }

  function closeSink(close: () => void): void {
    if (mode === 'open' && !hasDroppedBytes) close();
    else pendingClose = close;
  }

  function setMode(next: PipeMode): void {
    mode = next;
    if (mode === 'stalled') source.pause();
    else source.resume();
    if (mode !== 'open' || hasDroppedBytes || pendingClose === undefined) return;
    pendingClose();
    pendingClose = undefined;
  }

  source.on('data', sendChunk);
  source.on('end', () => {
    // Node.js reports a reset that arrives together with data as an end, and the connection has no peer then.
    const isReset = source.remoteAddress === undefined;
    closeSink(() => (isReset ? closeByReset(sink) : sink.end()));
  });
  source.on('error', () => closeSink(() => closeByReset(sink)));
  source.on('close', () => closeSink(() => sink.destroySoon()));
  sink.on('drain', () => {
    if (mode !== 'stalled') source.resume();
  });
  setMode(initialMode);
  return { setMode };
}

/**
 * Resets a connection. A socket that has already been ended locally cannot be reset: libuv refuses
 * it, and Node.js 20 then leaves the handle open forever, so that the process never exits.
 */
export function closeByReset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
