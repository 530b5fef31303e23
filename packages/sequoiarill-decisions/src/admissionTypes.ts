/** What admission is asked and what it answers. */
import type { Organisation } from '@sequoiarill/types';

import type { ConcurrencyLimit } from './concurrencyLimit';
import type { Cost } from './cost';

export interface AdmissionRequest {
  readonly organisation: Pick<Organisation, 'name' | 'weight' | 'priority' | 'limits'>;
  readonly model: string;
  readonly promptTokens: number;
  /** Part of the prompt that is probably in a prefix cache; none when absent. */
  readonly cachedTokens?: number;
  readonly maxOutputTokens: number;
  /** Inside the organisation: 0 goes first. */
  readonly priority?: number;
  /** How long this caller may wait for a start, when shorter than the system's bound. */
  readonly maxWaitMs?: number;
}

/** The right to run one generation; given back exactly once with `releasePermit`. */
export interface Permit {
  readonly organisation: string;
  readonly model: string;
  readonly grantedAtMs: number;
  readonly waitedMs: number;
  readonly cost: Cost;
}

/** A place in the queue. */
export interface Ticket {
  readonly organisation: string;
  readonly model: string;
  readonly queuedAtMs: number;
  readonly expectedWaitMs: number;
  /** Dropped with a refusal when it has not started by then. */
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
  /** `organisationLimit` is answered 429, `overloaded` 503. */
  readonly reason: 'organisationLimit' | 'overloaded';
  readonly retryAfterSeconds: number;
  readonly message: string;
}

export type AdmissionAnswer = Admitted | Queued | Refused;

export interface TicketOutcome {
  readonly ticket: Ticket;
  readonly outcome: Admitted | Refused;
}

export interface PermitUsage {
  readonly outputTokens: number;
  /** False for an answer that was cancelled or lost: its length says nothing of the next one's. */
  readonly isComplete?: boolean;
}

export interface AdmissionOptions {
  /** Uniform in [0, 1); spreads the times at which refused callers come back. */
  readonly nextRandom: () => number;
  /** One limit for each model, as its targets differ. */
  readonly createLimit: (model: string) => ConcurrencyLimit;
  /** Part of an organisation's limit that this router may use; the whole of it when absent. */
  readonly getLimitShare?: (organisation: string, nowMs: number) => number;
  /** Longest expected wait that is accepted, milliseconds. */
  readonly maxWaitMs?: number;
  /** Prefill of one token that is not cached, milliseconds; taken off measured first tokens. */
  readonly prefillMsPerToken?: number;
  /** Requests that wait at once for one model. */
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
  readonly admitRequest: (request: AdmissionRequest, nowMs: number) => AdmissionAnswer;
  /** Tickets that start now or are given up now; the caller wakes whoever holds them. */
  readonly takeNext: (nowMs: number) => readonly TicketOutcome[];
  /** For a caller who left while waiting: costs nothing any more. */
  readonly removeTicket: (ticket: Ticket) => void;
  /** Feeds the model's concurrency limit; `ms` from dispatch to the first token. */
  readonly recordFirstToken: (permit: Permit, ms: number, nowMs: number) => void;
  readonly releasePermit: (permit: Permit, use: PermitUsage, nowMs: number) => void;
  /** When the next ticket is given up unless it starts; for the caller's one timer. */
  readonly getNextDeadlineMs: () => number | undefined;
  /** Slots of a model's usable targets, at each change; see `ConcurrencyLimit.setCapacity`. */
  readonly setCapacity: (model: string, slots: number, busyShare?: number) => void;
  readonly listModelQueues: () => readonly ModelQueueState[];
}
