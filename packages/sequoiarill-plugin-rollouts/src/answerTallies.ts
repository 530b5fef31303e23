/** Counts the answers of both versions on this router since an order. */
import * as Decisions from '@sequoiarill/decisions';
import type { VersionAttemptResult, VersionAttempt, VersionCounts } from '@sequoiarill/types';

export interface AnswerTallies {
  /**
   * `isNewVersion`: whether the attempt goes to the version that the service moves to. Returns a function to
   * be called with the result of the attempt.
   */
  readonly recordSend: (
    attempt: VersionAttempt,
    isNewVersion: boolean,
  ) => (result: VersionAttemptResult) => void;
  readonly list: () => readonly VersionCounts[];
}

interface PendingRequest {
  readonly startedMs: number;
  readonly objectiveMs: number;
}

interface Tally {
  readonly route: string;
  readonly target?: string;
  failures: number;
  readonly byLatency: number[];
  readonly waiting: Set<PendingRequest>;
}

function createLatencyCounts(): number[] {
  return Array.from({ length: Decisions.LATENCY_CLASS_COUNT }, () => 0);
}

export function createAnswerTallies(getNowMs: () => number): AnswerTallies {
  const tallies = new Map<string, Tally>();

  function getTally({ route, target }: VersionAttempt, isNewVersion: boolean): Tally {
    const key = JSON.stringify(isNewVersion ? [route, target.id] : [route]);
    const existing = tallies.get(key);
    if (existing !== undefined) return existing;
    const tally = {
      route,
      failures: 0,
      byLatency: createLatencyCounts(),
      waiting: new Set<PendingRequest>(),
      ...(isNewVersion ? { target: target.id } : {}),
    };
    tallies.set(key, tally);
    return tally;
  }

  function countLatency(counts: number[], { startedMs, objectiveMs }: PendingRequest): void {
    const latencyClass = Decisions.computeLatencyClass(getNowMs() - startedMs, objectiveMs);
    counts[latencyClass] = (counts[latencyClass] ?? 0) + 1;
  }

  return {
    recordSend(attempt, isNewVersion) {
      const tally = getTally(attempt, isNewVersion);
      const pending = { startedMs: getNowMs(), objectiveMs: attempt.objectiveMs };
      tally.waiting.add(pending);
      return (result) => {
        if (!tally.waiting.delete(pending)) return;
        if (result === 'failed') tally.failures += 1;
        else if (result === 'answered') countLatency(tally.byLatency, pending);
      };
    },
    list: () =>
      [...tallies.values()].map(({ waiting, ...tally }) => {
        const counts = createLatencyCounts();
        waiting.forEach((one) => countLatency(counts, one));
        return { ...tally, byLatency: [...tally.byLatency], waiting: counts };
      }),
  };
}
