/**
 * A TCP forwarder between a caller and a target that injects network faults.
 *
 * A connection that dropped bytes in one direction forwards nothing more in that direction after
 * `heal`: forwarding again would deliver a stream with a gap, which TCP never does.
 */
import * as Net from 'node:net';

import * as Pipes from './pipe';

export interface LinkSettings {
  /** `IP:port` that connections are forwarded to; a function is asked for each connection. */
  readonly target: string | (() => string);
  /** `IP:port` to listen on; port 0 lets the operating system choose one. */
  readonly listen?: string;
}

export interface LinkCounters {
  readonly connectionsOpen: number;
  readonly connectionsOpened: number;
  readonly bytesToTarget: number;
  readonly bytesToCaller: number;
  /** In both directions. */
  readonly bytesDropped: number;
}

export interface LinkStandin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
  /** Silently drops bytes towards the target. */
  readonly cutToTarget: () => void;
  /** Silently drops bytes towards the caller. */
  readonly cutToCaller: () => void;
  readonly cutBoth: () => void;
  /** Holds back bytes in both directions until `heal`. */
  readonly stall: () => void;
  /** Open connections carry nothing any more, without being closed; new ones are forwarded. */
  readonly silence: () => void;
  /** Refuses new connections until `heal`; open ones are not affected. */
  readonly refuse: () => void;
  /** Resets every open connection; new ones are forwarded. */
  readonly reset: () => void;
  /** Clears every cut and stall, and accepts new connections again. */
  readonly heal: () => void;
  readonly getCounters: () => LinkCounters;
}

interface Connection {
  readonly toTarget: Pipes.Pipe;
  readonly toCaller: Pipes.Pipe;
  readonly reset: () => void;
}

function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

function setConnectionModes(
  connection: Connection,
  toTarget: Pipes.PipeMode,
  toCaller: Pipes.PipeMode,
): void {
  connection.toTarget.setMode(toTarget);
  connection.toCaller.setMode(toCaller);
}

export function createLinkStandin(settings: LinkSettings): LinkStandin {
  const listen = parseAddress(settings.listen ?? '127.0.0.1:0');
  const { target } = settings;
  const findTarget = (): ReturnType<typeof parseAddress> =>
    parseAddress(typeof target === 'string' ? target : target());
  const connections = new Set<Connection>();
  const silenced = new WeakSet<Connection>();
  const server = Net.createServer({ allowHalfOpen: true }, handleCaller);
  let toTargetMode: Pipes.PipeMode = 'open';
  let toCallerMode: Pipes.PipeMode = 'open';
  let listeningPort = listen.port;
  let connectionsOpened = 0;
  let bytesToTarget = 0;
  let bytesToCaller = 0;
  let bytesDropped = 0;

  function addBytesToTarget(bytes: number): void {
    bytesToTarget += bytes;
  }

  function addBytesToCaller(bytes: number): void {
    bytesToCaller += bytes;
  }

  function addBytesDropped(bytes: number): void {
    bytesDropped += bytes;
  }

  function handleCaller(caller: Net.Socket): void {
    const targetSocket = Net.connect({ ...findTarget(), allowHalfOpen: true, noDelay: true });
    caller.setNoDelay(true);
    const connection: Connection = {
      toTarget: Pipes.createPipe(caller, targetSocket, toTargetMode, {
        onForwarded: addBytesToTarget,
        onDropped: addBytesDropped,
      }),
      toCaller: Pipes.createPipe(targetSocket, caller, toCallerMode, {
        onForwarded: addBytesToCaller,
        onDropped: addBytesDropped,
      }),
      reset() {
        Pipes.closeByReset(caller);
        Pipes.closeByReset(targetSocket);
      },
    };
    // While one side is open, its cut or stall can still be cleared, and `stop` must close it.
    function removeIfClosed(): void {
      if (caller.destroyed && targetSocket.destroyed) connections.delete(connection);
    }
    connectionsOpened += 1;
    connections.add(connection);
    caller.on('close', removeIfClosed);
    targetSocket.on('close', removeIfClosed);
  }

  function setModes(toTarget: Pipes.PipeMode, toCaller: Pipes.PipeMode): void {
    toTargetMode = toTarget;
    toCallerMode = toCaller;
    for (const connection of connections) {
      if (!silenced.has(connection)) setConnectionModes(connection, toTarget, toCaller);
    }
  }

  function stopOpenConnections(): void {
    for (const connection of connections) {
      setConnectionModes(connection, 'cut', 'cut');
      silenced.add(connection);
    }
  }

  function refuseConnections(): void {
    if (server.listening) server.close();
  }

  function startAccepting(): void {
    if (!server.listening) server.listen(listeningPort, listen.host);
  }

  function closeConnections(): void {
    for (const connection of connections) connection.reset();
  }

  async function start(): Promise<{ readonly address: string }> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(listen.port, listen.host, resolve);
    });
    listeningPort = (server.address() as Net.AddressInfo).port;
    return { address: `${listen.host}:${listeningPort}` };
  }

  async function stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    closeConnections();
    await closed;
  }

  return {
    start,
    stop,
    cutToTarget: () => setModes('cut', toCallerMode),
    cutToCaller: () => setModes(toTargetMode, 'cut'),
    cutBoth: () => setModes('cut', 'cut'),
    stall: () => setModes('stalled', 'stalled'),
    silence: stopOpenConnections,
    refuse: refuseConnections,
    reset: closeConnections,
    heal() {
      setModes('open', 'open');
      startAccepting();
    },
    getCounters: () => ({
      connectionsOpen: connections.size,
      connectionsOpened,
      bytesToTarget,
      bytesToCaller,
      bytesDropped,
    }),
  };
}
