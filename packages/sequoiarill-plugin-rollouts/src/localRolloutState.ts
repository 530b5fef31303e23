/** What one router holds in memory of one order: what it saw, what others told, and what it must not do. */
import type { RolloutGuidance } from '@sequoiarill/types';

import * as AnswerTallies from './answerTallies';
import type { RolloutView } from './rolloutViews';
import * as ReportBooks from './reportRegistry';

export interface RolloutMemory {
  readonly orderRevision: number;
  readonly tallies: AnswerTallies.AnswerTallies;
  readonly reports: ReportBooks.ReportBook;
  /** The version is bad, and gets nothing more whatever the store says. */
  isHalted: boolean;
  avoided: ReadonlySet<string>;
  /** Longest time since the order that anybody told, and when; milliseconds. */
  elapsed: { readonly ms: number; readonly atMs: number };
}

/** One memory for each service: an order forgets what was seen of the one before. */
export function createRolloutMemories(getNowMs: () => number) {
  const memories = new Map<string, RolloutMemory>();

  function createMemory(orderRevision: number, seenAtMs: number): RolloutMemory {
    return {
      orderRevision,
      tallies: AnswerTallies.createAnswerTallies(getNowMs),
      reports: ReportBooks.createReportBook(getNowMs),
      isHalted: false,
      avoided: new Set(),
      elapsed: { ms: 0, atMs: seenAtMs },
    };
  }

  return {
    /** Undefined where there is no order. */
    get({ service, order }: Pick<RolloutView, 'service' | 'order'>): RolloutMemory | undefined {
      if (order === undefined) return undefined;
      const known = memories.get(service);
      if (known?.orderRevision === order.revision) return known;
      const created = createMemory(order.revision, order.seenAtMs);
      memories.set(service, created);
      return created;
    },
  };
}

export function recordElapsed(memory: RolloutMemory, ms: number, nowMs: number): void {
  if (ms > computeElapsed(memory, nowMs)) memory.elapsed = { ms, atMs: nowMs };
}

export function computeElapsed({ elapsed }: RolloutMemory, nowMs: number): number {
  return elapsed.ms + nowMs - elapsed.atMs;
}

export function buildGuidance(
  { isHalted, avoided }: RolloutMemory,
  record: { readonly revision: number; readonly value: string } | undefined,
): RolloutGuidance {
  const guidance = { isHalted, avoided: [...avoided] };
  return record === undefined ? guidance : { ...guidance, state: record };
}
