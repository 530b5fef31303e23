/** Binds HTTP servers to the addresses given in the settings. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

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

/** Closes the server and all its connections; does nothing if the server is not listening. */
export async function closeListener(server: Server): Promise<void> {
  if (!server.listening) return;
  const closed = new Promise((resolve) => {
    server.close(resolve);
  });
  server.closeAllConnections();
  await closed;
}
