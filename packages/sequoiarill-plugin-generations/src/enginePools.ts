/** Connection pool and count of in-flight attempts for each engine. */
import * as Kernel from '@sequoiarill/kernel';
import type { EngineTarget } from '@sequoiarill/types';
import * as Undici from 'undici';

export interface EnginePool {
  readonly dispatcher: Undici.Dispatcher;
  readonly origin: string;
}

export interface EnginePools {
  readonly getPool: (target: EngineTarget) => EnginePool;
  readonly getInFlight: (target: string) => number;
  readonly addInFlight: (target: string, delta: 1 | -1) => void;
  /** Closes pools of targets that left the configuration, after their in-flight streams have ended. */
  readonly removeMissing: (targets: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
}

export interface EnginePoolOptions {
  readonly connectTimeoutMs: number;
  /** Maximum connections to one engine; each stream uses one. */
  readonly maxConnections: number;
}

interface PoolEntry extends EnginePool {
  readonly address: string;
  readonly pool: Undici.Pool;
}

export function createEnginePools(options: EnginePoolOptions): EnginePools {
  const entries = new Map<string, PoolEntry>();
  const inFlight = new Map<string, number>();

  function openEntry(target: EngineTarget): PoolEntry {
    const origin = `http://${target.address}`;
    // No timeouts for headers and body: the stall timer of each attempt covers both.
    const pool = new Undici.Pool(origin, {
      connections: options.maxConnections,
      connect: { timeout: options.connectTimeoutMs },
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: Kernel.openCheckedClient,
    });
    const entry: PoolEntry = { address: target.address, pool, dispatcher: pool, origin };
    entries.set(target.name, entry);
    return entry;
  }

  function closeEntry(name: string, entry: PoolEntry): void {
    entries.delete(name);
    entry.pool.close().catch(() => undefined);
  }

  return {
    getPool(target) {
      const existing = entries.get(target.name);
      if (existing !== undefined && existing.address === target.address) return existing;
      if (existing !== undefined) closeEntry(target.name, existing);
      return openEntry(target);
    },
    getInFlight: (target) => inFlight.get(target) ?? 0,
    addInFlight(target, delta) {
      const count = (inFlight.get(target) ?? 0) + delta;
      if (count === 0) inFlight.delete(target);
      else inFlight.set(target, count);
    },
    removeMissing(targets) {
      for (const [name, entry] of entries) if (!targets.has(name)) closeEntry(name, entry);
    },
    async close() {
      await Promise.all([...entries.values()].map(({ pool }) => pool.destroy()));
      entries.clear();
    },
  };
}
