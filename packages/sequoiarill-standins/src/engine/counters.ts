/** What an engine did since it was created; kept over deaths, for tests to compare with. */
export interface EngineCounters {
  /** Generations asked for, also those refused. */
  readonly requests: number;
  readonly tokensGenerated: number;
  /** Prompt tokens that were computed. */
  readonly tokensPrefilled: number;
  /** Prompt tokens that the prefix cache spared. */
  readonly prefillCached: number;
  /** Generations ended by a cancel order. */
  readonly cancelled: number;
  /** Generations ended because no reader came back in time. */
  readonly abandoned: number;
  readonly resumed: number;
  /** Orders refused for an old fencing number. */
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
