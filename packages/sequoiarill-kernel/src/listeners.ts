/** Binds HTTP servers to addresses from the settings. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** The address to listen on is in use or not of this machine. */
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

/** Rejects with an `AddressError` if the address cannot be taken. */
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

/** `IP:port` in use; empty while the server does not listen. */
export function getBoundAddress(server: Server): string {
  const bound = server.address() as AddressInfo | null;
  if (bound === null) return '';
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
  return `${host}:${bound.port}`;
}

/** Closes the server with all its connections; does nothing when it does not listen. */
export async function closeListener(server: Server): Promise<void> {
  if (!server.listening) return;
  const closed = new Promise((resolve) => {
    server.close(resolve);
  });
  server.closeAllConnections();
  await closed;
}
