/** Types of the choice of a target: the input and the result. */

export type TargetChoiceState = 'healthy' | 'slow' | 'dead' | 'leaving' | 'new';

/** State of one target as known to this router at the time of the choice. */
export interface TargetView {
  readonly name: string;
  readonly zone: string;
  /** Generations that the target runs concurrently. */
  readonly slots: number;
  /** Generations of this router in progress at the target. */
  readonly inFlight: number;
  /** Generations of all routers running and waiting at the target, from its last report. */
  readonly reportedRunning?: number;
  readonly reportedWaiting?: number;
  /** Age of the report, milliseconds. */
  readonly reportAgeMs?: number;
  /** Generations that this router sent after the report was made. */
  readonly sentSinceReport: number;
  /** Generations of this router that ended after the report was made; none if absent. */
  readonly endedSinceReport?: number;
  readonly state: TargetChoiceState;
  /** Share of its full load that a new or readmitted target gets, 0 to 1. */
  readonly warmShare: number;
}

export interface TargetChoiceRequest {
  readonly candidates: readonly TargetView[];
  /** Zone of this router. */
  readonly zone: string;
  /** Digests of the prompt's prefixes, longest first; may be empty. */
  readonly prefixKeys: readonly string[];
  readonly nowMs: number;
  /** Names of targets that must not be chosen, such as the one that was just lost. */
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
  /** Tokens to prefill if nothing is cached; an average prompt is assumed if absent. */
  readonly promptTokens?: number;
  /** Whether the choice may go unused, so that nothing is recorded of it. */
  readonly isTentative?: boolean;
}

export interface ConsideredTarget {
  readonly name: string;
  /** Expected milliseconds until the first token; comparable only within one choice. */
  readonly expectedWait: number;
  /** Share of the prompt that is probably in the target's prefix cache, 0 to 1. */
  readonly cachedShare: number;
}

export interface TargetChosen {
  readonly kind: 'target';
  readonly name: string;
  readonly reason: string;
  readonly considered: readonly ConsideredTarget[];
}

export interface NoTargetChosen {
  readonly kind: 'none';
  readonly reason: string;
  readonly retryAfterSeconds: number;
}

export type TargetChoice = TargetChosen | NoTargetChosen;
