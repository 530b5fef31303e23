/** What a choice of target is made from, and what comes out of it. */

export type TargetChoiceState = 'healthy' | 'slow' | 'dead' | 'leaving' | 'new';

/** One target as this router knows it at the moment of the choice. */
export interface TargetView {
  readonly name: string;
  readonly zone: string;
  /** Generations it runs at once. */
  readonly slots: number;
  /** This router's own work there. */
  readonly inFlight: number;
  /** Generations running and waiting there as last reported, by whomever sent them. */
  readonly reportedRunning?: number;
  readonly reportedWaiting?: number;
  /** Milliseconds since the target counted them. */
  readonly reportAgeMs?: number;
  /** What this router sent there after the report was counted. */
  readonly sentSinceReport: number;
  /** What of this router's work ended there after the report was counted; none when absent. */
  readonly endedSinceReport?: number;
  readonly state: TargetChoiceState;
  /** 0 to 1: how much of its full load a new or returning target is given. */
  readonly warmShare: number;
}

export interface TargetChoiceRequest {
  readonly candidates: readonly TargetView[];
  /** Zone of this router. */
  readonly zone: string;
  /** Digests of the prompt's prefixes, longest first; may be empty. */
  readonly prefixKeys: readonly string[];
  readonly nowMs: number;
  /** Names that must not be chosen, such as the target that was just lost. */
  readonly excluded: ReadonlySet<string>;
  readonly purpose: 'first' | 'continuation';
  /** Tokens to prefill where nothing is cached; a middling prompt when absent. */
  readonly promptTokens?: number;
}

export interface ConsideredTarget {
  readonly name: string;
  /** Milliseconds until the first token, as expected; comparable only inside one choice. */
  readonly expectedWait: number;
  /** 0 to 1: part of the prompt that is probably in its prefix cache. */
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
