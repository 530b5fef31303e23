/**
 * Polls engines for their load and reports it to the zone's other routers.
 *
 * A router's own in-flight count misses what others send: 32 routers of a zone that each see an idle
 * engine overload it together. Only two of the zone's routers, chosen by rendezvous hashing, poll
 * each engine, and membership distributes the result; so the calls grow with engines, not routers.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { EngineTarget, Membership } from '@sequoiarill/types';

import * as EngineLoads from './engineLoads';
import type { EnginePools } from './enginePools';

/** Reports are outdated within seconds; faster polling would spend control bandwidth on noise. */
export const POLL_INTERVAL_MS = 2_000;
/** A later response no longer describes the current load. */
const RESPONSE_TIMEOUT_MS = 900;

export interface LoadPollerOptions {
  readonly routerName: string;
  readonly pools: Pick<EnginePools, 'getPool'>;
  readonly reportTarget: Membership['reportTarget'];
}

export interface LoadPoller {
  /** Polls this router's share of the engines; ends when all have responded or timed out. */
  readonly runRound: (
    engines: readonly EngineTarget[],
    routers: readonly string[],
  ) => Promise<void>;
}

export function createLoadPoller(options: LoadPollerOptions): LoadPoller {
  const targetSet = Decisions.createTargetSet({ routerName: options.routerName, size: 1 });

  async function readLoad(engine: EngineTarget): Promise<void> {
    const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
    const load = await EngineLoads.readLoad(options.pools.getPool(engine), signal);
    if (load === undefined) return;
    const { running, waiting, draining } = load;
    const state = draining ? 'leaving' : 'healthy';
    options.reportTarget({ target: engine.name, state, running, waiting });
  }

  return {
    async runRound(engines, routers) {
      const names = engines.map(({ name }) => name);
      const isOnlyRouter = routers.length < 2;
      const selected = new Set(isOnlyRouter ? names : targetSet.selectTargets(names, routers));
      const reads = engines
        .filter(({ name }) => selected.has(name))
        // A failed poll is ignored: only attempts determine whether an engine has failed.
        .map((engine) => readLoad(engine).catch(() => undefined));
      await Promise.all(reads);
    },
  };
}
