/** What was decided for a request, when and why: the source of `sequoiarill explain`. */

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
  /** Wall clock, ISO 8601; for people only, never compared. */
  readonly at: string;
  /** Milliseconds since the first entry of the request. */
  readonly elapsedMs: number;
  /** One plain sentence: what was decided and why. */
  readonly reason: string;
  readonly details: Readonly<Record<string, unknown>>;
}

/** Bounded; the oldest requests are forgotten first. */
export interface Journal {
  readonly recordDecision: (
    requestId: string,
    kind: DecisionKind,
    reason: string,
    details?: Readonly<Record<string, unknown>>,
  ) => void;
  readonly explainRequest: (requestId: string) => readonly DecisionEntry[] | undefined;
}
