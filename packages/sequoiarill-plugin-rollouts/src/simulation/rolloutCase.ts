/** What is played of a roll-out, and what comes of it. */

/** How the new version is bad. */
export interface BadVersion {
  /** Of its answers. */
  readonly share: number;
  readonly how: 'fails' | 'slow';
  /** From so long after the order on, milliseconds. */
  readonly fromMs?: number;
  /** Only at targets that are as busy as those of the old version usually are. */
  readonly onlyUnderLoad?: boolean;
  readonly route?: string;
}

/** Milliseconds are counted from the order. */
export type PlayedFault =
  | {
      readonly kind:
        | 'storeAway'
        /** Writes are done, and nobody is told. */
        | 'answersLost'
        | 'zoneCut'
        /** One new target fails half of its answers. */
        | 'greyTarget'
        /** A quarter of all targets fails half of its answers. */
        | 'greyTargets';
      readonly atMs: number;
      readonly forMs: number;
    }
  /** The router that wrote last dies, or a new target. */
  | { readonly kind: 'killWriter' | 'crashTarget'; readonly atMs: number }
  | { readonly kind: 'order'; readonly atMs: number; readonly toVersion: string };

export interface RolloutCase {
  readonly name: string;
  readonly routers: number;
  readonly requestsPerS: number;
  readonly routes: readonly string[];
  /** Mean time of one request at a target, milliseconds. */
  readonly workMs: number;
  readonly canHandOver: boolean;
  readonly oldTargets: number;
  readonly newTargets: number;
  readonly durationMs: number;
  readonly bad?: BadVersion;
  /** Share of all answers that fail whatever the version. */
  readonly usualFailures: number;
  readonly faults: readonly PlayedFault[];
  readonly seed: number;
}

export interface RolloutResult {
  readonly name: string;
  readonly bad: boolean;
  /** As operators are told. */
  readonly state: string;
  /** From the order to its time limit. */
  readonly requests: number;
  /** Of them, those that the new version got. */
  readonly exposed: number;
  /** Last request that a bad version got, after its 50th bad answer; milliseconds. */
  readonly afterRollbackMs: number;
  /** Requests that were at targets of the old version when it stopped. */
  readonly cut: number;
  readonly withinDuration: boolean;
  /** A sound version was rolled back. */
  readonly falseAlarms: number;
  /** From the last order to the last word, milliseconds. */
  readonly decidedMs: number;
  /** The state never left its last word again, but for another order. */
  readonly isFinal: boolean;
}
