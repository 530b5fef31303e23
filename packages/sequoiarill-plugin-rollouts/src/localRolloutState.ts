/** In-memory state of one roll-out order on one router: its answer counts, reports and guidance received. */
import * as Kernel from '@sequoiarill/kernel';
import type { RolloutGuidance } from '@sequoiarill/types';

import * as AnswerTallies from './answerTallies';
import * as ReportRegistries from './reportRegistry';
import type { RolloutView } from './rolloutViews';

const { isSameChange } = Kernel.Revisions;

export interface LocalRolloutState {
  readonly orderRevision: number;
  readonly tallies: AnswerTallies.AnswerTallies;
  readonly reports: ReportRegistries.ReportRegistry;
  /** The version is bad and gets no more requests, whatever the state in the store. */
  isHalted: boolean;
  /** Ids of targets of the new version that get no requests. */
  avoided: ReadonlySet<string>;
  /** Longest time since the order that any router reported, and when it was reported; milliseconds. */
  elapsed: { readonly ms: number; readonly atMs: number };
}

/** Holds one state per service; a new order replaces the state of the previous one. */
export function createLocalRolloutStates(getNowMs: () => number) {
  const states = new Map<string, LocalRolloutState>();

  function createState(orderRevision: number, readAtMs: number): LocalRolloutState {
    return {
      orderRevision,
      tallies: AnswerTallies.createAnswerTallies(getNowMs),
      reports: ReportRegistries.createReportRegistry(getNowMs),
      isHalted: false,
      avoided: new Set(),
      elapsed: { ms: 0, atMs: readAtMs },
    };
  }

  return {
    /** Returns undefined if the service has no order. */
    get({ service, order }: Pick<RolloutView, 'service' | 'order'>): LocalRolloutState | undefined {
      if (order === undefined) return undefined;
      const existing = states.get(service);
      const isOfOrder =
        existing !== undefined && isSameChange(existing.orderRevision, order.revision);
      if (isOfOrder) return existing;
      const state = createState(order.revision, order.readAtMs);
      states.set(service, state);
      return state;
    },
  };
}

export function recordElapsed(localState: LocalRolloutState, ms: number, nowMs: number): void {
  if (ms > computeElapsed(localState, nowMs)) localState.elapsed = { ms, atMs: nowMs };
}

export function computeElapsed({ elapsed }: LocalRolloutState, nowMs: number): number {
  return elapsed.ms + nowMs - elapsed.atMs;
}

export function buildGuidance(
  { isHalted, avoided }: LocalRolloutState,
  record: { readonly revision: number; readonly value: string } | undefined,
): RolloutGuidance {
  const guidance = { isHalted, avoided: [...avoided] };
  return record === undefined ? guidance : { ...guidance, state: record };
}
