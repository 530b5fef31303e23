/** Rollouts: moving a service's requests to another version of its targets. */
import type { ForwardingTarget } from './forwarding';

/** An operator's order to move a service to the targets of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly toVersion: string;
  /** Time from the order until the rollout must have completed or rolled back, milliseconds. */
  readonly durationMs: number;
}

export type DecodedRolloutOrder =
  | { readonly kind: 'order'; readonly order: RolloutOrder }
  | { readonly kind: 'malformed'; readonly reason: string };

/** State of a rollout as reported to operators. */
export interface RolloutStatus {
  readonly toVersion: string;
  /**
   * `completed`: targets of other versions may stop now. `rolledBack`: those of the new version
   * may.
   */
  readonly state: 'inProgress' | 'completed' | 'rolledBack';
}

export type RolloutPhase =
  /** No router has started the rollout yet. The version receives no requests. */
  | 'ordered'
  /** A few targets of the version receive a small share of the requests. */
  | 'canary'
  /** The version receives a larger share, on as many targets as give each the usual load. */
  | 'trial'
  /** All new requests go to the version. In-flight requests elsewhere finish there. */
  | 'moving'
  | 'completed'
  | 'rolledBack';

/** A request sent to a target, recorded for the comparison of versions. */
export interface VersionAttempt {
  readonly target: ForwardingTarget;
  readonly route: string;
  /** Latency objective for the answer, milliseconds. */
  readonly objectiveMs: number;
}

/**
 * `answered`: the target sent a complete answer, or the first event of a stream. `failed`: the
 * target answered that it failed. `unknown`: no answer came from the target; a broken connection is
 * no evidence against its version.
 */
export type VersionAttemptResult = 'answered' | 'failed' | 'unknown';

/** Capability `rollouts`: selects the versions that requests may be sent to. */
export interface Rollouts {
  /**
   * `draw` is a uniform random number in [0, 1), drawn once per request and kept for its retries.
   */
  readonly selectTargets: (
    targets: readonly ForwardingTarget[],
    draw: number,
  ) => readonly ForwardingTarget[];
  /** Whether the target's version gets no new work and its streams are to continue elsewhere. */
  readonly isLeaving: (target: ForwardingTarget) => boolean;
  /** Returns a function to call with the result. Only its first call counts. */
  readonly recordAttempt: (attempt: VersionAttempt) => (result: VersionAttemptResult) => void;
  /** Sets the function that returns this router's number of in-flight requests at a target. */
  readonly setInFlightCounter: (countInFlight: (target: ForwardingTarget) => number) => void;
}
