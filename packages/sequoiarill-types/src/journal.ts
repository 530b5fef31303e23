/** Decisions made for each request, with time and reason. `sequoiarill explain` prints them. */

export type DecisionKind =
  | 'accepted'
  | 'admitted'
  | 'refused'
  | 'targetChosen'
  | 'dispatched'
  | 'firstToken'
  | 'generationLost'
  | 'continued'
  | 'claimed'
  | 'retried'
  | 'resumed'
  | 'cancelled'
  | 'finished';

export interface DecisionEntry {
  readonly kind: DecisionKind;
  /** Wall-clock time, ISO 8601, for display only. Never compared. */
  readonly at: string;
  /** Time since the first entry of the request, milliseconds. */
  readonly elapsedMs: number;
  /** One sentence for operators: what was decided and why. */
  readonly reason: string;
  readonly details: Readonly<Record<string, unknown>>;
}

/** Bounded record of decisions. The oldest requests are evicted first. */
export interface Journal {
  readonly recordDecision: (
    requestId: string,
    kind: DecisionKind,
    reason: string,
    details?: Readonly<Record<string, unknown>>,
  ) => void;
  readonly explainRequest: (requestId: string) => readonly DecisionEntry[] | undefined;
}
