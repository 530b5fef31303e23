/**
 * Counts what an engine did since it was created; retained over simulated crashes so that tests can
 * check it.
 */
export interface EngineCounters {
  /** Requested generations, including refused ones. */
  readonly requests: number;
  readonly tokensGenerated: number;
  /** Prompt tokens that needed prefill. */
  readonly tokensPrefilled: number;
  /** Prompt tokens that were found in the prefix cache. */
  readonly prefillCached: number;
  /** Generations ended by a cancel command. */
  readonly cancelled: number;
  /** Generations ended because no reader reconnected in time. */
  readonly abandoned: number;
  readonly resumed: number;
  /** Requests and commands refused for a stale fencing number. */
  readonly staleRefused: number;
}

export type CounterName = keyof EngineCounters;

export interface EngineCounterSet {
  readonly addCount: (name: CounterName, value?: number) => void;
  readonly getCounters: () => EngineCounters;
}

export function createEngineCounters(): EngineCounterSet {
  const counts = new Map<CounterName, number>();
  return {
    addCount(name, value = 1) {
      counts.set(name, (counts.get(name) ?? 0) + value);
    },
    getCounters() {
      const getCount = (name: CounterName): number => counts.get(name) ?? 0;
      return {
        requests: getCount('requests'),
        tokensGenerated: getCount('tokensGenerated'),
        tokensPrefilled: getCount('tokensPrefilled'),
        prefillCached: getCount('prefillCached'),
        cancelled: getCount('cancelled'),
        abandoned: getCount('abandoned'),
        resumed: getCount('resumed'),
        staleRefused: getCount('staleRefused'),
      };
    },
  };
}
