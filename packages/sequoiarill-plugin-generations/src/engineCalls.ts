/** Sends attempts and cancellations to engines. */
import type { Clock } from '@sequoiarill/types';

import * as Attempts from './attempt';
import type { EnginePools } from './enginePools';
import * as EngineRequests from './engineRequests';
import type { Attempt, GenerationDependencies } from './generation';
import type { Targets } from './targets';

export interface EngineCallsOptions {
  readonly pools: EnginePools;
  readonly targets: Targets;
  readonly clock: Pick<Clock, 'getRunningMs'>;
}

export type EngineCalls = Pick<GenerationDependencies, 'runAttempt' | 'cancelAttempt'>;

/** Cancelling is best effort: if it times out, the engine stops the work after its hold time. */
const CANCEL_TIMEOUT_MS = 2_000;

export function createEngineCalls(options: EngineCallsOptions): EngineCalls {
  const { pools, targets, clock } = options;

  function cancelAttempt(attempt: Attempt): void {
    const { dispatcher, origin } = pools.getPool(attempt.target);
    dispatcher
      .request({
        origin,
        path: EngineRequests.createCancelPath(attempt.request.requestId),
        method: 'POST',
        headers: { 'x-fencing-number': String(attempt.generation) },
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  async function* runAttempt(attempt: Attempt): ReturnType<GenerationDependencies['runAttempt']> {
    const { target, request } = attempt;
    targets.recordDispatch(attempt);
    pools.addInFlight(target.name, 1);
    try {
      return yield* Attempts.runAttempt({
        target,
        pool: pools.getPool(target),
        ...EngineRequests.createEngineRequest(attempt),
        requestId: request.requestId,
        fencingNumber: attempt.generation,
        limits: targets.getLimits(attempt),
        signal: request.signal,
        getRunningMs: clock.getRunningMs,
        startedMs: clock.getRunningMs(),
        onFirstToken: (ms) => targets.recordFirstToken(attempt, ms),
        onGap: (ms) => targets.recordGap(attempt, ms),
      });
    } finally {
      pools.addInFlight(target.name, -1);
      targets.recordEnd(attempt);
    }
  }

  return { runAttempt, cancelAttempt };
}
