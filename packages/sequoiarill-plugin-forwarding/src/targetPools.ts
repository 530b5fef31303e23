/** Connections to targets: one pool for each life of a target. */
import type { ForwardingTarget } from '@sequoiarill/types';
import * as Undici from 'undici';

export interface TargetPools {
  readonly getPool: (target: ForwardingTarget) => Undici.Pool;
  /** Requests in progress end; new ones get new connections. */
  readonly renewPool: (target: ForwardingTarget) => void;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
  readonly close: () => Promise<void>;
}

interface Entry {
  readonly target: ForwardingTarget;
  readonly pool: Undici.Pool;
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

export function createTargetPools(): TargetPools {
  const entries = new Map<string, Entry>();

  function openPool(target: ForwardingTarget): Undici.Pool {
    const pool = new Undici.Pool(`http://${target.address}`, {
      connections: null,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        keepAlive: true,
        keepAliveInitialDelay: PROBE_DELAY_MS,
      },
    });
    entries.set(target.id, { target, pool });
    return pool;
  }

  function closeEntry(id: string, entry: Entry): void {
    entries.delete(id);
    // Ends by itself when its last request has; a pool that is already closed needs nothing.
    entry.pool.close().catch(() => undefined);
  }

  return {
    getPool(target) {
      const known = entries.get(target.id);
      if (known === undefined) return openPool(target);
      const { address, startedAtUnixMs } = known.target;
      if (address === target.address && startedAtUnixMs === target.startedAtUnixMs) {
        return known.pool;
      }
      closeEntry(target.id, known);
      return openPool(target);
    },
    renewPool(target) {
      const known = entries.get(target.id);
      if (known !== undefined) closeEntry(target.id, known);
    },
    removeMissing(isCurrent) {
      for (const [id, entry] of entries) if (!isCurrent(entry.target)) closeEntry(id, entry);
    },
    async close() {
      await Promise.all([...entries.values()].map(({ pool }) => pool.destroy()));
      entries.clear();
    },
  };
}
