/** Sends attempts and cancellations to engines. */
import type { Clock } from '@sequoiarill/types';

import * as Attempts from './attempt';
import type { EnginePools } from './enginePools';
import * as EngineProbes from './engineProbes';
import * as EngineRequests from './engineRequests';
import type { Attempt, GenerationDependencies, TargetQuery } from './generation';
import * as Silences from './silence';
import type { Silence } from './silence';
import type { Targets } from './targets';

export interface EngineCallsOptions {
  readonly pools: EnginePools;
  readonly targets: Targets;
  readonly clock: Pick<Clock, 'getRunningMs'>;
}

export type EngineCalls = Pick<
  GenerationDependencies,
  'runAttempt' | 'cancelAttempt' | 'openSilence'
>;

/** Cancelling is best effort: if it times out, the engine stops the work after its hold time. */
const CANCEL_TIMEOUT_MS = 2_000;

export function createEngineCalls(options: EngineCallsOptions): EngineCalls {
  const { pools, targets, clock } = options;
  const { getRunningMs } = clock;
  const probes = EngineProbes.createEngineProbes({ pools, getRunningMs });

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

  async function* runAttempt(
    attempt: Attempt,
    openAttemptSilence: () => Attempts.AttemptSilence,
  ): ReturnType<GenerationDependencies['runAttempt']> {
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
        getRunningMs,
        startedMs: getRunningMs(),
        onFirstToken: (ms) => targets.recordFirstToken(attempt, ms),
        onGap: (ms) => targets.recordGap(attempt, ms),
        openSilence: openAttemptSilence,
      });
    } finally {
      pools.addInFlight(target.name, -1);
      targets.recordEnd(attempt);
    }
  }

  function openSilence({ target }: Attempt, query: TargetQuery): Silence {
    return Silences.createSilence({
      target,
      ...probes,
      chooseSuccessor(unresponsive) {
        const excluded = new Set([...query.excluded, ...unresponsive, target.name]);
        const decision = targets.chooseTarget({ ...query, excluded, isTentative: true });
        return decision.kind === 'target' ? decision.target : undefined;
      },
      getRunningMs,
    });
  }

  return { runAttempt, cancelAttempt, openSilence };
}
