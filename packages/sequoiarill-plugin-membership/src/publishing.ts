/**
 * Which of a router's own observations the others are told. Pure.
 *
 * Load pattern: 32 routers that each see the load of 372 targets every second. Told as they come,
 * 11,904 facts a second would reach each router, 20 times the byte budget. So a change of state is
 * told at once by everyone who sees it, and load only by one router a target: routers are ranked
 * for each target by a hash, and each waits longer before it tells, the lower its rank, so that the
 * first one's fact arrives before the others' time comes. No election, and any router may die.
 */
import type { TargetReport } from '@sequoiarill/types';

import type { TargetFact } from './targetFact';

/** Load older than this is told again by the first in rank. */
export const LOAD_REFRESH_MS = 3_000;
/** More than the time a fact takes to reach the zone, so that the next in rank stays silent. */
export const RANK_DELAY_MS = 1_500;
const MAX_RANK = 3;

export interface PublishQuestion {
  readonly report: TargetReport;
  /** What this router told last of the target. */
  readonly told: TargetFact | undefined;
  /** Every fact at hand of the target. */
  readonly known: readonly TargetFact[];
  /** 0 for the router that is first to tell of this target. */
  readonly rank: number;
  readonly nowMs: number;
}

export type PublishDecision = 'stateChange' | 'load' | 'withhold';

export function decidePublishing(question: PublishQuestion): PublishDecision {
  const { report, told, known, rank, nowMs } = question;
  const toldState = told?.state ?? 'healthy';
  if (report.state !== toldState) return 'stateChange';
  // A state other than healthy is told by all who see it, since the majority is counted.
  let newestMs = told?.seenMs ?? -Infinity;
  if (report.state === 'healthy') {
    for (const fact of known) newestMs = Math.max(newestMs, fact.seenMs);
  }
  const delayMs = report.state === 'healthy' ? Math.min(rank, MAX_RANK) * RANK_DELAY_MS : 0;
  return nowMs - newestMs >= LOAD_REFRESH_MS + delayMs ? 'load' : 'withhold';
}
