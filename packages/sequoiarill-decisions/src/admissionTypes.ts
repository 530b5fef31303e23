/** Input and results of admission control. */
import type { Organisation } from '@sequoiarill/types';

import type { ConcurrencyLimit } from './concurrencyLimit';
import type { Cost } from './cost';

export interface AdmissionRequest {
  readonly organisation: Pick<Organisation, 'name' | 'weight' | 'priority' | 'limits'>;
  readonly model: string;
  readonly promptTokens: number;
  /** Prompt tokens that are probably in a prefix cache; 0 when absent. */
  readonly cachedTokens?: number;
  readonly maxOutputTokens: number;
  /** Order among the requests of the organisation; 0 goes first. */
  readonly priority?: number;
  /**
   * Longest time in milliseconds that this caller waits for a start; applies if below the system's
   * bound.
   */
  readonly maxWaitMs?: number;
}

/** The right to run one generation; returned exactly once with `releasePermit`. */
export interface Permit {
  readonly organisation: string;
  readonly model: string;
  readonly grantedAtMs: number;
  readonly waitedMs: number;
  readonly cost: Cost;
}

/** Identifies a queued request. */
export interface Ticket {
  readonly organisation: string;
  readonly model: string;
  readonly queuedAtMs: number;
  readonly expectedWaitMs: number;
  /** The request is refused if it has not started by then. */
  readonly deadlineMs: number;
}

export interface Admitted {
  readonly kind: 'admitted';
  readonly permit: Permit;
}

export interface Queued {
  readonly kind: 'queued';
  readonly ticket: Ticket;
}

export interface Refused {
  readonly kind: 'refused';
  /** `organisationLimit` becomes status 429, `overloaded` becomes 503. */
  readonly reason: 'organisationLimit' | 'overloaded';
  readonly retryAfterSeconds: number;
  readonly message: string;
}

export type AdmissionDecision = Admitted | Queued | Refused;

export interface TicketOutcome {
  readonly ticket: Ticket;
  readonly outcome: Admitted | Refused;
}

export interface PermitUsage {
  readonly outputTokens: number;
  /** False for a cancelled or lost answer; its length does not predict that of the next one. */
  readonly isComplete?: boolean;
}

export interface AdmissionOptions {
  /** Uniform in [0, 1); spreads the times at which refused callers retry. */
  readonly nextRandom: () => number;
  /** Each model has a limit of its own, since the targets of models differ. */
  readonly createLimit: (model: string) => ConcurrencyLimit;
  /** Share of an organisation's limit that this router may use; 1 when absent. */
  readonly getLimitShare?: (organisation: string, nowMs: number) => number;
  /** Longest expected wait that is accepted, milliseconds. */
  readonly maxWaitMs?: number;
  /** Prefill time of one uncached token, milliseconds; subtracted from the time to first token. */
  readonly prefillMsPerToken?: number;
  /** Most requests that may wait for one model at the same time. */
  readonly maxQueueLength?: number;
}

export interface ModelQueueState {
  readonly model: string;
  readonly limit: number;
  readonly running: number;
  readonly queued: number;
  readonly queuedWork: number;
  readonly workPerSecond: number;
}

export interface Admission {
  readonly admitRequest: (request: AdmissionRequest, nowMs: number) => AdmissionDecision;
  /** Tickets that start or are refused now; the caller must notify whoever waits on them. */
  readonly takeNext: (nowMs: number) => readonly TicketOutcome[];
  /** Removes the ticket of a caller that left while waiting, without any charge. */
  readonly removeTicket: (ticket: Ticket) => void;
  /** Updates the model's concurrency limit; `ms` is the time from dispatch to the first token. */
  readonly recordFirstToken: (permit: Permit, ms: number, nowMs: number) => void;
  readonly releasePermit: (permit: Permit, usage: PermitUsage, nowMs: number) => void;
  /** When the next ticket is refused unless it starts first; lets the caller use a single timer. */
  readonly getNextDeadlineMs: () => number | undefined;
  /**
   * Sets the slots of a model's usable targets; called at each change. See
   * `ConcurrencyLimit.setCapacity`.
   */
  readonly setCapacity: (model: string, slots: number, busyShare?: number) => void;
  readonly listModelQueues: () => readonly ModelQueueState[];
}
