/** What this router saw of both versions since an order. */
import * as Decisions from '@sequoiarill/decisions';
import type { VersionAttemptResult, VersionAttempt, VersionCounts } from '@sequoiarill/types';

export interface AnswerTallies {
  /** `isFresh`: to the version that the service is to move to. Gives what is to be called at the end. */
  readonly recordSend: (
    send: VersionAttempt,
    isFresh: boolean,
  ) => (end: VersionAttemptResult) => void;
  readonly list: () => readonly VersionCounts[];
}

interface Waiting {
  readonly startedMs: number;
  readonly objectiveMs: number;
}

interface Tally {
  readonly route: string;
  readonly target?: string;
  failures: number;
  readonly byLatency: number[];
  readonly waiting: Set<Waiting>;
}

function createCounts(): number[] {
  return Array.from({ length: Decisions.LATENCY_CLASS_COUNT }, () => 0);
}

export function createAnswerTallies(getNowMs: () => number): AnswerTallies {
  const tallies = new Map<string, Tally>();

  function getTally({ route, target }: VersionAttempt, isFresh: boolean): Tally {
    const key = JSON.stringify(isFresh ? [route, target.id] : [route]);
    const known = tallies.get(key);
    if (known !== undefined) return known;
    const created = {
      route,
      failures: 0,
      byLatency: createCounts(),
      waiting: new Set<Waiting>(),
      ...(isFresh ? { target: target.id } : {}),
    };
    tallies.set(key, created);
    return created;
  }

  function addClass(counts: number[], { startedMs, objectiveMs }: Waiting): void {
    const latencyClass = Decisions.computeLatencyClass(getNowMs() - startedMs, objectiveMs);
    counts[latencyClass] = (counts[latencyClass] ?? 0) + 1;
  }

  return {
    recordSend(send, isFresh) {
      const tally = getTally(send, isFresh);
      const waiting = { startedMs: getNowMs(), objectiveMs: send.objectiveMs };
      tally.waiting.add(waiting);
      return (end) => {
        if (!tally.waiting.delete(waiting)) return;
        if (end === 'failed') tally.failures += 1;
        else if (end === 'answered') addClass(tally.byLatency, waiting);
      };
    },
    list: () =>
      [...tallies.values()].map(({ waiting, ...tally }) => {
        const counts = createCounts();
        waiting.forEach((one) => addClass(counts, one));
        return { ...tally, byLatency: [...tally.byLatency], waiting: counts };
      }),
  };
}
