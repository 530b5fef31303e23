/** Queue, slots, prefill order and KV cache of the queueing engine stand-in; no input or output. */

export interface EngineRequest {
  readonly requestId: string;
  /** From 0, the most urgent. */
  readonly rank: number;
  readonly promptTokens: number;
  /** Events that the caller already has; they are prefilled with the prompt. */
  readonly priorEvents: number;
}

export interface QueuedRequest<Request extends EngineRequest> {
  readonly request: Request;
  readonly arrival: number;
  /** Events that it has produced, also before a preemption. */
  events: number;
}

export interface ActiveRun<Request extends EngineRequest> extends QueuedRequest<Request> {
  /** Number of the run in the order in which runs got a slot. */
  readonly order: number;
  /** Tokens in the KV cache. */
  tokens: number;
}

export interface EngineSize {
  readonly slots: number;
  readonly maxQueued: number;
  readonly kvTokens: number;
  readonly tokensPerEvent: number;
  /** Whether a request without tokens displaces a less urgent run, and growth the least urgent one. */
  readonly preempts: boolean;
}

export interface EngineQueue<Request extends EngineRequest> {
  /** Returns undefined where the queue is full. */
  readonly addRequest: (request: Request) => QueuedRequest<Request> | undefined;
  /** Starts what has a slot and tokens, and returns it with the runs that were displaced for it. */
  readonly startNext: () => {
    readonly started: readonly ActiveRun<Request>[];
    readonly preempted: readonly ActiveRun<Request>[];
  };
  /** Adds the tokens of one event, and returns the runs that were displaced for them. */
  readonly addEvent: (run: ActiveRun<Request>) => readonly ActiveRun<Request>[];
  /** Removes a request from the queue or the slots. */
  readonly removeRequest: (request: Request) => void;
  readonly removeAll: () => void;
  readonly listQueued: () => readonly QueuedRequest<Request>[];
  readonly listActive: () => readonly ActiveRun<Request>[];
  readonly countUsedTokens: () => number;
}

export function createEngineQueue<Request extends EngineRequest>(
  size: EngineSize,
): EngineQueue<Request> {
  const { slots, maxQueued, kvTokens, tokensPerEvent, preempts } = size;
  let queued: QueuedRequest<Request>[] = [];
  let active: ActiveRun<Request>[] = [];
  let arrivals = 0;
  let order = 0;

  function countUsedTokens(): number {
    return active.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  function addQueued(one: QueuedRequest<Request>): void {
    queued.push(one);
    queued.sort(
      (left, right) => left.request.rank - right.request.rank || left.arrival - right.arrival,
    );
  }

  function countNeeded({ request, events }: QueuedRequest<Request>): number {
    return request.promptTokens + (request.priorEvents + events) * tokensPerEvent;
  }

  /** The newest of the least urgent runs. */
  function findVictim(): ActiveRun<Request> | undefined {
    const least = Math.max(...active.map(({ request }) => request.rank));
    return active
      .filter(({ request }) => request.rank === least)
      .reduce<ActiveRun<Request> | undefined>(
        (newest, run) => (newest === undefined || run.order > newest.order ? run : newest),
        undefined,
      );
  }

  /** A preempted run waits with its first arrival, so that it precedes later ones of its rank. */
  function delayRun(run: ActiveRun<Request>): void {
    active = active.filter((one) => one !== run);
    addQueued({ request: run.request, arrival: run.arrival, events: run.events });
  }

  /** Displaces less urgent runs until the tokens fit; returns undefined and displaces none if they can't. */
  function reserveTokens(next: QueuedRequest<Request>): readonly ActiveRun<Request>[] | undefined {
    const needed = countNeeded(next);
    if (countUsedTokens() + needed <= kvTokens) return [];
    if (!preempts) return undefined;
    const lessUrgent = active.filter(({ request }) => request.rank > next.request.rank);
    const reclaimable = lessUrgent.reduce((sum, { tokens }) => sum + tokens, 0);
    if (countUsedTokens() - reclaimable + needed > kvTokens) return undefined;
    const preempted: ActiveRun<Request>[] = [];
    while (countUsedTokens() + needed > kvTokens) {
      const victim = findVictim();
      if (victim === undefined) break;
      delayRun(victim);
      preempted.push(victim);
    }
    return preempted;
  }

  return {
    addRequest(request) {
      if (queued.length >= maxQueued) return undefined;
      arrivals += 1;
      const one = { request, arrival: arrivals, events: 0 };
      addQueued(one);
      return one;
    },
    startNext() {
      const started: ActiveRun<Request>[] = [];
      const preempted: ActiveRun<Request>[] = [];
      for (;;) {
        const [next] = queued;
        // The first one waits for tokens and is not overtaken by one that needs fewer.
        if (next === undefined || active.length >= slots) break;
        const displaced = reserveTokens(next);
        if (displaced === undefined) break;
        queued = queued.filter((one) => one !== next);
        order += 1;
        const run = { ...next, order, tokens: countNeeded(next) };
        active.push(run);
        started.push(run);
        preempted.push(...displaced);
      }
      return { started, preempted };
    },
    addEvent(run) {
      run.events += 1;
      run.tokens += tokensPerEvent;
      const preempted: ActiveRun<Request>[] = [];
      // Without preemption, runs grow beyond the total, and nothing starts until they have ended.
      while (preempts && active.length > 1 && countUsedTokens() > kvTokens) {
        const victim = findVictim();
        if (victim === undefined) break;
        delayRun(victim);
        preempted.push(victim);
      }
      return preempted;
    },
    removeRequest(request) {
      queued = queued.filter((one) => one.request !== request);
      active = active.filter((one) => one.request !== request);
    },
    removeAll() {
      queued = [];
      active = [];
    },
    listQueued: () => queued,
    listActive: () => active,
    countUsedTokens,
  };
}
