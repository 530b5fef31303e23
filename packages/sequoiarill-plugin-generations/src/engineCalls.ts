/** Attempts and cancels as calls to engines. */
import type { Clock } from '@sequoiarill/types';

import * as Attempts from './attempt';
import type { EnginePools } from './enginePools';
import * as EngineRequests from './engineRequests';
import type { AttemptOrder, GenerationParts } from './generation';
import type { Targets } from './targets';

export interface EngineCallsOptions {
  readonly pools: EnginePools;
  readonly targets: Targets;
  readonly clock: Pick<Clock, 'getRunningMs'>;
}

export type EngineCalls = Pick<GenerationParts, 'runAttempt' | 'cancelAttempt'>;

/** A cancel that no engine answers in this time is given up; the engine's own hold ends the work. */
const CANCEL_TIMEOUT_MS = 2_000;

export function createEngineCalls(options: EngineCallsOptions): EngineCalls {
  const { pools, targets, clock } = options;

  function cancelAttempt(order: AttemptOrder): void {
    const { dispatcher, origin } = pools.getPool(order.target);
    dispatcher
      .request({
        origin,
        path: EngineRequests.createCancelPath(order.request.requestId),
        method: 'POST',
        headers: { 'x-fencing-number': String(order.generation) },
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  async function* runAttempt(order: AttemptOrder): ReturnType<GenerationParts['runAttempt']> {
    const { target, request } = order;
    targets.recordDispatch(order);
    pools.addInFlight(target.name, 1);
    try {
      return yield* Attempts.runAttempt({
        target,
        pool: pools.getPool(target),
        ...EngineRequests.createEngineRequest(order),
        requestId: request.requestId,
        fencingNumber: order.generation,
        limits: targets.getLimits(order),
        signal: request.signal,
        getRunningMs: clock.getRunningMs,
        startedMs: clock.getRunningMs(),
        onFirstToken: (ms) => targets.recordFirstToken(order, ms),
        onGap: (ms) => targets.recordGap(order, ms),
      });
    } finally {
      pools.addInFlight(target.name, -1);
      targets.recordEnd(order);
    }
  }

  return { runAttempt, cancelAttempt };
}
