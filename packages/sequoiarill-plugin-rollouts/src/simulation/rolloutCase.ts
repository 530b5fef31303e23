/** Parameters and result of a simulated roll-out. */

/** Defect of the new version. */
export interface BadVersion {
  /** Fraction of its answers that are affected. */
  readonly share: number;
  readonly how: 'fails' | 'slow';
  /** Time after the order from which the defect shows, milliseconds. */
  readonly fromMs?: number;
  /** The defect shows only at targets under the usual load of an old target. */
  readonly onlyUnderLoad?: boolean;
  /** The defect shows only on this route. */
  readonly route?: string;
}

/** Times are relative to the order. */
export type SimulatedFault =
  | {
      readonly kind:
        | 'storeUnavailable'
        /** The store applies writes, but its responses are lost. */
        | 'responsesLost'
        | 'zoneIsolated'
        /** One new target fails half of its requests. */
        | 'targetFailing'
        /** A quarter of all targets fail half of their requests. */
        | 'targetsFailing';
      readonly atMs: number;
      readonly forMs: number;
    }
  /** The router that wrote last crashes, or a new target does. */
  | { readonly kind: 'writerCrash' | 'targetCrash'; readonly atMs: number }
  | { readonly kind: 'order'; readonly atMs: number; readonly toVersion: string };

export interface RolloutCase {
  readonly name: string;
  readonly routers: number;
  readonly requestsPerSecond: number;
  readonly routes: readonly string[];
  /** Mean duration of one request at a target, milliseconds. */
  readonly meanRequestMs: number;
  readonly hasStreams: boolean;
  readonly oldTargets: number;
  readonly newTargets: number;
  readonly durationMs: number;
  readonly bad?: BadVersion;
  /** Share of all requests that fail, whatever the version. */
  readonly baseFailureShare: number;
  readonly faults: readonly SimulatedFault[];
  readonly seed: number;
}

export interface RolloutResult {
  readonly name: string;
  readonly bad: boolean;
  /** Final state in the status that operators read. */
  readonly state: string;
  /** Requests from the order to its time limit. */
  readonly requests: number;
  /** Those of `requests` that went to the new version. */
  readonly exposed: number;
  /** Time from the 50th bad answer to the last request that the version got, milliseconds. */
  readonly afterRollbackMs: number;
  /** In-flight requests that were lost when the targets of the old version stopped. */
  readonly cut: number;
  readonly withinDuration: boolean;
  /** 1 if a sound version was rolled back. */
  readonly falseAlarms: number;
  /** Time from the last order to the final state, milliseconds. */
  readonly decidedMs: number;
  /** The state did not change after a final one, except for another order. */
  readonly isFinal: boolean;
}
