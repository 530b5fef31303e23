/**
 * Counts the calls that a plain service ran; tests check the "at most once" guarantee against it.
 */

export interface ServiceCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly body: string;
}

export interface ServiceAnswer {
  readonly method: string;
  readonly path: string;
  /** Runs with this idempotency key, or all runs if the call has no key; includes this one. */
  readonly count: number;
  readonly idempotencyKey: string | null;
  readonly body: string;
}

export interface ServiceCounters {
  readonly total: number;
  /** Calls that got the stored answer of an earlier run. */
  readonly replayed: number;
  readonly runsByKey: Readonly<Record<string, number>>;
}

export interface ServiceRuns {
  readonly runCall: (call: ServiceCall) => ServiceAnswer;
  readonly getCounters: () => ServiceCounters;
}

export function createServiceRuns(checksIdempotencyKey: boolean): ServiceRuns {
  const runsByKey = new Map<string, number>();
  const answersByKey = new Map<string, ServiceAnswer>();
  let total = 0;
  let replayed = 0;

  function addRun(call: ServiceCall): ServiceAnswer {
    const { idempotencyKey, ...rest } = call;
    total += 1;
    if (idempotencyKey === undefined) return { ...rest, count: total, idempotencyKey: null };
    const count = (runsByKey.get(idempotencyKey) ?? 0) + 1;
    runsByKey.set(idempotencyKey, count);
    const answer = { ...rest, count, idempotencyKey };
    answersByKey.set(idempotencyKey, answer);
    return answer;
  }

  function runCall(call: ServiceCall): ServiceAnswer {
    const { idempotencyKey } = call;
    const earlier = idempotencyKey === undefined ? undefined : answersByKey.get(idempotencyKey);
    if (!checksIdempotencyKey || earlier === undefined) return addRun(call);
    replayed += 1;
    return earlier;
  }

  return {
    runCall,
    getCounters: () => ({ total, replayed, runsByKey: Object.fromEntries(runsByKey) }),
  };
}
