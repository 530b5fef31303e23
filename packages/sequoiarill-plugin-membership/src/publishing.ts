/**
 * Decides which of its own observations a router publishes to the other routers of the zone.
 *
 * Load pattern: in a zone of 32 routers each one observes the load of 372 targets every second. If
 * all were published, each router would receive 11,904 facts a second, 20 times the byte budget. A
 * change of state is therefore published at once by each router that observes it, but load by only
 * one router per target: a hash ranks the routers for each target, and the delay before publishing
 * grows with the rank number, so that the fact of the first router arrives before the delays of the
 * others end. This needs no leader election and tolerates the failure of any router.
 */
import type { TargetReport } from '@sequoiarill/types';

import type { TargetFact } from './targetFact';

/** The router of rank 0 publishes load again when the last fact is older than this. */
export const LOAD_REFRESH_MS = 3_000;
/**
 * Exceeds the time in which a fact reaches the zone, so that the next rank does not publish too.
 */
export const RANK_DELAY_MS = 1_500;
const MAX_RANK = 3;

export interface PublishInput {
  readonly report: TargetReport;
  /** The fact that this router published last about the target. */
  readonly published: TargetFact | undefined;
  /** All stored facts about the target. */
  readonly knownFacts: readonly TargetFact[];
  /** 0 for the router that publishes the load of this target first. */
  readonly rank: number;
  readonly nowMs: number;
}

export type PublishDecision = 'stateChange' | 'load' | 'withhold';

export function decidePublishing(input: PublishInput): PublishDecision {
  const { report, published, knownFacts, rank, nowMs } = input;
  const publishedState = published?.state ?? 'healthy';
  if (report.state !== publishedState) return 'stateChange';
  // All observers publish a state other than healthy, because it is decided by majority.
  let newestMs = published?.seenMs ?? -Infinity;
  if (report.state === 'healthy') {
    for (const fact of knownFacts) newestMs = Math.max(newestMs, fact.seenMs);
  }
  const delayMs = report.state === 'healthy' ? Math.min(rank, MAX_RANK) * RANK_DELAY_MS : 0;
  return nowMs - newestMs >= LOAD_REFRESH_MS + delayMs ? 'load' : 'withhold';
}
