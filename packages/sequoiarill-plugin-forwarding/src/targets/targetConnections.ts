/** Connections to targets, each for one request at a time; the one used last is used next. */
import type { ForwardingTarget } from '@sequoiarill/types';
import * as Undici from 'undici';

export interface TargetConnection {
  readonly dispatch: Undici.Client['dispatch'];
  /** The target reset the connection: an answer that ends with its connection is not whole then. */
  readonly wasReset: () => boolean;
  /** Keeps it for the next request, when the answer was whole. */
  readonly release: () => void;
  readonly close: () => void;
}

export interface TargetConnections {
  readonly takeConnection: (target: ForwardingTarget) => TargetConnection;
  /** Idle connections are suspect, as after a silence: the next requests get new ones. */
  readonly closeIdle: (target: ForwardingTarget) => void;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
  readonly countOpen: () => number;
  readonly close: () => void;
}

interface Entry {
  readonly target: ForwardingTarget;
  /** Newest last. */
  readonly idle: TargetConnection[];
}

/** Between zones a connection takes some milliseconds; a dark target must not cost more than this. */
const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are kept this long where the target names no time of its own, milliseconds. */
const KEEP_ALIVE_MS = 4_000;
/**
 * An idle connection is given up this long before the target would close it, milliseconds: a request
 * that crosses the close could have run.
 */
const KEEP_ALIVE_MARGIN_MS = 900;
/** First probe of an idle connection by the kernel, milliseconds. */
const PROBE_DELAY_MS = 1_000;

export function createTargetConnections(): TargetConnections {
  const entries = new Map<string, Entry>();
  const connect = Undici.buildConnector({
    timeout: CONNECT_TIMEOUT_MS,
    keepAlive: true,
    keepAliveInitialDelay: PROBE_DELAY_MS,
  });
  let openCount = 0;

  function getEntry(target: ForwardingTarget): Entry {
    const known = entries.get(target.id);
    if (known !== undefined && isSameLife(known.target, target)) return known;
    if (known !== undefined) closeEntry(known);
    const created: Entry = { target, idle: [] };
    entries.set(target.id, created);
    return created;
  }

  function closeEntry(entry: Entry): void {
    entry.idle.splice(0).forEach((connection) => connection.close());
  }

  /**
   * Failure: an answer without a length ends with its connection, and the HTTP client takes a reset for
   * that end, so half an answer looks whole. The connection's own error, which comes first, tells.
   */
  function openConnection(target: ForwardingTarget): TargetConnection {
    let isReset = false;
    const client = new Undici.Client(`http://${target.address}`, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect(options, callback) {
        connect(options, (...result) => {
          result[1]?.on('error', () => {
            isReset = true;
          });
          callback(...result);
        });
      },
    });
    openCount += 1;
    let isOpen = true;

    function close(): void {
      if (!isOpen) return;
      isOpen = false;
      openCount -= 1;
      client.destroy().catch(() => undefined);
    }

    const connection: TargetConnection = {
      dispatch: client.dispatch.bind(client),
      wasReset: () => isReset,
      release() {
        const entry = entries.get(target.id);
        if (!isOpen || isReset || entry === undefined || !isSameLife(entry.target, target)) close();
        else entry.idle.push(connection);
      },
      close,
    };
    client.on('disconnect', () => {
      const idle = entries.get(target.id)?.idle;
      const index = idle?.indexOf(connection) ?? -1;
      if (index >= 0) {
        idle?.splice(index, 1);
        close();
      }
    });
    return connection;
  }

  return {
    takeConnection: (target) => getEntry(target).idle.pop() ?? openConnection(target),
    closeIdle(target) {
      const known = entries.get(target.id);
      if (known !== undefined) closeEntry(known);
    },
    removeMissing(isCurrent) {
      for (const [id, entry] of entries) {
        if (!isCurrent(entry.target)) {
          closeEntry(entry);
          entries.delete(id);
        }
      }
    },
    countOpen: () => openCount,
    close() {
      entries.forEach(closeEntry);
      entries.clear();
    },
  };
}

function isSameLife(left: ForwardingTarget, right: ForwardingTarget): boolean {
  return left.address === right.address && left.startedAtUnixMs === right.startedAtUnixMs;
}
