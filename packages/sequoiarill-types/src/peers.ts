/** What routers ask of each other beside the directory. */

/** A part of the repeats of a service that one router asks of another. */
export interface RepeatsLoan {
  readonly service: string;
  /** Parts of a repeat count too. */
  readonly repeats: number;
}

export type LoanOutcome =
  | { readonly kind: 'lent'; readonly repeats: number }
  /** The peer did not answer in time. */
  | { readonly kind: 'failed'; readonly reason: string };

/** Capability `peers`: the other routers, as the directory knows them. */
export interface RouterPeers {
  /** `IP:port` of other routers, those of this router's zone first and otherwise in random order. */
  readonly listNearest: () => readonly string[];
  readonly borrowRepeats: (peer: string, loan: RepeatsLoan) => Promise<LoanOutcome>;
  /** Who decides what this router lends to others; until it is told, nothing is lent. */
  readonly setLender: (lendRepeats: (loan: RepeatsLoan) => number) => void;
}
