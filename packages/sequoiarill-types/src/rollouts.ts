/** Moving a service's requests to another version of its targets. */
import type { ForwardingTarget } from './forwarding';

/** An operator asks for a service to move to the targets of a version. */
export interface RolloutOrder {
  readonly service: string;
  readonly toVersion: string;
  /** Time in which it is to be decided, milliseconds from the order on. */
  readonly durationMs: number;
}

export type DecodedRolloutOrder =
  | { readonly kind: 'order'; readonly order: RolloutOrder }
  | { readonly kind: 'malformed'; readonly reason: string };

/** What operators are told of a roll-out. */
export interface RolloutStatus {
  readonly toVersion: string;
  /** `completed`: the other targets may stop at once; `rolledBack`: those of the version may. */
  readonly state: 'inProgress' | 'completed' | 'rolledBack';
}

export type RolloutPhase =
  /** No router has taken it up; the version gets nothing. */
  | 'ordered'
  /** A small share goes to a few of its targets. */
  | 'canary'
  /** A larger share goes to so many that each is loaded as the others are. */
  | 'trial'
  /** All new work goes to it; work in progress elsewhere ends or is handed over. */
  | 'moving'
  | 'completed'
  | 'rolledBack';

/** A request that a target was sent, for the comparison of versions. */
export interface VersionAttempt {
  readonly target: ForwardingTarget;
  readonly route: string;
  /** Within which the answer is on time, milliseconds. */
  readonly objectiveMs: number;
}

/**
 * `answered`: the whole answer, of a stream its first event. `failed`: an answer of the target that says so.
 * `unknown`: none of its own; connections that broke are no evidence against a version.
 */
export type VersionAttemptResult = 'answered' | 'failed' | 'unknown';

/** Capability `rollouts`: which versions requests may go to. */
export interface Rollouts {
  /** `draw` is a request's own, uniform in [0, 1), and the same for its whole life. */
  readonly selectTargets: (
    targets: readonly ForwardingTarget[],
    draw: number,
  ) => readonly ForwardingTarget[];
  /** New work no longer goes to the target's version, and streams there are to go on elsewhere. */
  readonly isLeaving: (target: ForwardingTarget) => boolean;
  /** Gives what is to be called with the end; calls after the first one change nothing. */
  readonly recordAttempt: (send: VersionAttempt) => (end: VersionAttemptResult) => void;
  /** Who tells how many requests of this router a target works on. */
  readonly setInFlightCounter: (getInFlight: (target: ForwardingTarget) => number) => void;
}
