/** One direction of one forwarded connection. */
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
  let hasLost = false;
  /** Set when the source closed while nothing may pass. */
  let pendingClose: (() => void) | undefined;

  function sendPart(part: Buffer): void {
    if (mode === 'cut') hasLost = true;
    if (hasLost) {
      listener.onDropped(part.length);
      return;
    }
    listener.onForwarded(part.length);
    if (!sink.write(part)) source.pause();
  }

  function closeSink(close: () => void): void {
    if (mode === 'open' && !hasLost) close();
    else pendingClose = close;
  }

  function setMode(next: PipeMode): void {
    mode = next;
    if (mode === 'stalled') source.pause();
    else source.resume();
    if (mode !== 'open' || hasLost || pendingClose === undefined) return;
    pendingClose();
    pendingClose = undefined;
  }

  source.on('data', sendPart);
  source.on('end', () => closeSink(() => sink.end()));
  source.on('error', () => closeSink(() => closeByReset(sink)));
  source.on('close', () => closeSink(() => sink.destroySoon()));
  sink.on('drain', () => {
    if (mode !== 'stalled') source.resume();
  });
  setMode(initialMode);
  return { setMode };
}

/**
 * Resets a connection. A socket whose own end is on its way cannot be reset any more: libuv refuses,
 * and Node.js 20 then leaves the handle open for ever, so that the process never ends.
 */
export function closeByReset(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
