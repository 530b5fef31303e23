/** Pools of connections to targets: one request at a time for each connection, last used first. */
import type { Socket } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';
import * as Undici from 'undici';

import * as CarriedCalls from './carriedCalls';
import type { CallKey } from './carriedCalls';
import * as OverheadMeters from './overheadMeter';
import type { OverheadMeter } from './overheadMeter';

/** The process behind an address. Another one at the same address gets connections of its own. */
export type Endpoint = Pick<ForwardingTarget, 'id' | 'address' | 'startedAtUnixMs'>;

export interface TargetConnection {
  readonly dispatch: Undici.Client['dispatch'];
  /**
   * Whether the target reset the connection: a response that ends with its connection is incomplete
   * then.
   */
  readonly wasReset: () => boolean;
  /** Whether it has carried a call before: an answer without an id may belong to that one. */
  readonly wasUsed: () => boolean;
  /** Counts what the target sends beside bodies; `start` is to be called with each request. */
  readonly overhead: Pick<OverheadMeter, 'start' | 'addBodyBytes' | 'countOverhead'>;
  /** Returns the connection to the pool after a complete response. */
  readonly release: () => void;
  readonly close: () => void;
}

export interface TargetConnections {
  /** A new connection, also where an idle one is open. */
  readonly openConnection: (target: Endpoint) => TargetConnection;
  /** An idle connection that has not carried the call before, or a new one. */
  readonly takeConnection: (target: Endpoint, call?: CallKey) => TargetConnection;
  /**
   * Closes idle connections that may be dead, as after a silence; the next requests open new ones.
   */
  readonly closeIdle: (target: Endpoint) => void;
  readonly removeMissing: (isCurrent: (target: Endpoint) => boolean) => void;
  readonly countOpen: () => number;
  readonly close: () => void;
}

interface PooledConnection extends TargetConnection {
  readonly carried: CarriedCalls.CarriedCalls;
}

interface ConnectionPool {
  readonly target: Endpoint;
  /** Most recently used last. */
  readonly idle: PooledConnection[];
}

/**
 * A connection between zones takes a few milliseconds; an unreachable target must not cost more
 * than this.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Idle connections stay open this long where the target announces no keep-alive time. */
const KEEP_ALIVE_MS = 4_000;
/**
 * An idle connection is closed this long before the target would close it: a request that is sent
 * while the target closes the connection may or may not have run.
 */
const KEEP_ALIVE_MARGIN_MS = 900;
/**
 * An unread socket stops reading once it has buffered this much. Chunks have up to 64 KB, so it buffers one of
 * them; by the client's default of 64 KB it would buffer up to two. The client's types lack this option.
 */
const READ_AHEAD_BYTES = 1_024;
/** Idle time before the first TCP keep-alive probe. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

export function createTargetConnections({ getNowMs }: Pick<Clock, 'getNowMs'>): TargetConnections {
  const pools = new Map<string, ConnectionPool>();
  const connect = Undici.buildConnector({
    timeout: CONNECT_TIMEOUT_MS,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    ...{ highWaterMark: READ_AHEAD_BYTES },
  });
  let openCount = 0;

  function getPool(target: Endpoint): ConnectionPool {
    const existing = pools.get(target.id);
    if (existing !== undefined && isSameTarget(existing.target, target)) return existing;
    if (existing !== undefined) closePool(existing);
    const pool: ConnectionPool = { target, idle: [] };
    pools.set(target.id, pool);
    return pool;
  }

  function closePool(pool: ConnectionPool): void {
    pool.idle.splice(0).forEach((connection) => connection.close());
  }

  /**
   * Failure: a response without a length ends with its connection, and the HTTP client takes a
   * reset for that end, so a truncated response looks complete. Listeners that come before those of
   * the client see the reset.
   */
  function openConnection(target: Endpoint): PooledConnection {
    let isReset = false;
    const recordReset = () => {
      isReset = true;
    };
    let isUsed = false;
    /** Whether a request was dispatched that has not ended. */
    let isCarrying = false;
    let socket: Socket | undefined;
    const pauseGuard = Kernel.createPauseGuard();
    const overhead = OverheadMeters.createOverheadMeter();
    const client = new Undici.Client(`http://${target.address}`, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect(options, callback) {
        connect(options, (...result) => {
          const [, connected] = result;
          socket = connected ?? undefined;
          if (connected) {
            Kernel.watchReset(connected, recordReset);
            pauseGuard.watchSocket(connected);
          }
          callback(...result);
          // After the client's own listener, so that it has parsed what was read.
          if (connected) overhead.watchSocket(connected);
        });
      },
    });
    openCount += 1;
    let isOpen = true;

    function close(): void {
      if (!isOpen) return;
      isOpen = false;
      openCount -= 1;
      pauseGuard.runUnpaused(closeSocket);
    }

    function closeSocket(): void {
      // What the operating system has not delivered yet is dropped with the request that is given up.
      const isOpenSocket = socket?.destroyed === false && !socket.writableEnded;
      if (isCarrying && isOpenSocket) socket?.resetAndDestroy();
      client.destroy().catch(() => undefined);
    }

    const connection: PooledConnection = {
      carried: CarriedCalls.createCarriedCalls(),
      dispatch(options, handler) {
        isCarrying = true;
        return client.dispatch(options, pauseGuard.addGuard(handler));
      },
      wasReset: () => isReset,
      wasUsed: () => isUsed,
      overhead,
      release() {
        isUsed = true;
        isCarrying = false;
        const pool = pools.get(target.id);
        if (!isOpen || isReset || pool === undefined || !isSameTarget(pool.target, target)) close();
        else {
          overhead.start(close);
          pool.idle.push(connection);
        }
      },
      close,
    };
    client.on('disconnect', () => {
      const idle = pools.get(target.id)?.idle;
      const index = idle?.indexOf(connection) ?? -1;
      if (index >= 0) {
        idle?.splice(index, 1);
        close();
      }
    });
    return connection;
  }

  /**
   * Failure: a full target rejects a request, gets it again over the same connection, and sends its rejection a second
   * time before it runs the request. Both have the id of the request, so the rejection would be taken for the answer, and
   * the request would run twice. So a repeat goes over another connection.
   */
  function takeIdle({ idle }: ConnectionPool, call: CallKey | undefined) {
    const index = idle.findLastIndex(({ carried }) => call === undefined || !carried.has(call));
    return index < 0 ? undefined : idle.splice(index, 1)[0];
  }

  return {
    openConnection,
    takeConnection(target, call) {
      const connection = takeIdle(getPool(target), call) ?? openConnection(target);
      if (call !== undefined) connection.carried.add(call, getNowMs());
      return connection;
    },
    closeIdle(target) {
      const pool = pools.get(target.id);
      if (pool !== undefined) closePool(pool);
    },
    removeMissing(isCurrent) {
      for (const [id, pool] of pools) {
        if (!isCurrent(pool.target)) {
          closePool(pool);
          pools.delete(id);
        }
      }
    },
    countOpen: () => openCount,
    close() {
      pools.forEach(closePool);
      pools.clear();
    },
  };
}

function isSameTarget(left: Endpoint, right: Endpoint): boolean {
  return left.address === right.address && left.startedAtUnixMs === right.startedAtUnixMs;
}
