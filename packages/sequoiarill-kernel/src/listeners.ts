/** Binds HTTP servers to the addresses given in the settings. */
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import * as RunningTimes from './runningTime';

/** The server cannot listen on the configured address, for instance because the port is in use. */
export class AddressError extends Error {
  override readonly name = 'AddressError';

  constructor(
    /** Section and key of the setting, such as `[callers] listen`. */
    readonly setting: string,
    readonly address: string,
    readonly code: string,
  ) {
    const reason = code === 'EADDRINUSE' ? 'is in use by another process' : `fails with ${code}`;
    super(`${setting}: ${address} ${reason}; choose another address or port`);
  }
}

/** Starts listening; rejects with an `AddressError` if the address cannot be bound. */
export async function openListener(
  server: Server,
  address: string,
  setting: string,
): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(address.slice(separator + 1));
  await new Promise<void>((resolve, reject) => {
    const handleError = (error: NodeJS.ErrnoException) =>
      reject(new AddressError(setting, address, error.code ?? error.message));
    server.once('error', handleError);
    server.listen({ host, port }, () => {
      server.off('error', handleError);
      resolve();
    });
  });
}

/** Returns the bound `IP:port`, or an empty string while the server is not listening. */
export function getBoundAddress(server: Server): string {
  const boundAddress = server.address() as AddressInfo | null;
  if (boundAddress === null) return '';
  const host = boundAddress.family === 'IPv6' ? `[${boundAddress.address}]` : boundAddress.address;
  return `${host}:${boundAddress.port}`;
}

/**
 * Listener for a server's `timeout` event: closes a kept connection whose idle timeout has passed.
 *
 * Reads pending input first: after a pause, timers fire before sockets are read, and a request may
 * have arrived in time. Input restarts the idle timeout, or ends it with a request.
 */
export function closeIdleConnection(socket: Socket): void {
  const { bytesRead } = socket;
  RunningTimes.runAfterPendingReads(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** Closes the server and all its connections; does nothing if the server is not listening. */
export async function closeListener(server: Server): Promise<void> {
  if (!server.listening) return;
  const closed = new Promise((resolve) => {
    server.close(resolve);
  });
  server.closeAllConnections();
  await closed;
}
