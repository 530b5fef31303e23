/** What routers ask of each other beside the directory. */

/** A part of the repeats of a service that one router asks of another. */
export interface RetryQuotaRequest {
  readonly service: string;
  /** Parts of a repeat count too. */
  readonly repeats: number;
}

export type RetryQuotaOutcome =
  | { readonly kind: 'lent'; readonly repeats: number }
  /** The peer did not answer in time. */
  | { readonly kind: 'failed'; readonly reason: string };

/** Answers of one route that targets of one version gave to one router, since the order. */
export interface VersionCounts {
  readonly route: string;
  /** Absent: all targets of the version that is to be replaced. */
  readonly target?: string;
  readonly failures: number;
  /** Other answers, by latency class. */
  readonly byLatency: readonly number[];
  /** Requests without an answer so far, by the class of the time that they have waited. */
  readonly waiting: readonly number[];
}

/** What one router has seen of a roll-out. */
export interface RolloutReport {
  readonly service: string;
  /** Revision of the order; another one is another roll-out. */
  readonly orderRevision: number;
  /** `IP:port` of the router, as its peers know it. */
  readonly router: string;
  /** Since the order, as far as this router knows, milliseconds. */
  readonly elapsedMs: number;
  /** Requests in progress here at targets that get no new work. */
  readonly leaving: number;
  readonly tallies: readonly VersionCounts[];
}

/** What the router that decides a roll-out tells the one that reports. */
export interface RolloutGuidance {
  /** The version is bad: it gets nothing more, also before the store knows. */
  readonly isHalted: boolean;
  /** Targets of the version that are judged bad by themselves. */
  readonly avoided: readonly string[];
  /** The roll-out's state, if the router that answers knows one. */
  readonly state?: { readonly revision: number; readonly value: string };
}

export type GuidanceOutcome =
  | { readonly kind: 'guided'; readonly guidance: RolloutGuidance }
  | { readonly kind: 'failed'; readonly reason: string };

/** A target ended while it began to run a request with this content. */
export interface Crash {
  readonly content: string;
  /** One life of a target: crashes of the same one count once. */
  readonly target: string;
  readonly ageMs: number;
}

/** A content under which so many targets ended that no router sends it to another one. */
export interface ContentBlock {
  readonly content: string;
  /** Of the first and of the last crash, milliseconds. */
  readonly firstAgeMs: number;
  readonly lastAgeMs: number;
}

/** A content was answered in whole: crashes before that were not its fault. */
export interface ContentAnswer {
  readonly content: string;
  readonly ageMs: number;
}

export type CrashReportOutcome =
  { readonly kind: 'counted' } | { readonly kind: 'failed'; readonly reason: string };

export type BlockExchangeOutcome =
  | { readonly kind: 'blocks'; readonly blocks: readonly ContentBlock[] }
  | { readonly kind: 'failed'; readonly reason: string };

/** What a router makes of crashes and blocks that its peers tell. */
export interface CrashHandlers {
  readonly handleCrashes: (crashes: readonly Crash[]) => void;
  readonly handleAnswers: (answers: readonly ContentAnswer[]) => void;
  /** Returns the blocks that are known here. */
  readonly handleBlocks: (blocks: readonly ContentBlock[]) => readonly ContentBlock[];
}

export interface RouterLocation {
  /** `IP:port`, as its peers know it. */
  readonly address: string;
  readonly zone: string;
}

export interface RateLimitedTarget {
  /** One life of a target. */
  readonly life: string;
  readonly zone: string;
}

/** What a target was last heard to name. */
export interface ObservedLimit {
  /** Requests a second over all routers; absent where it names none any more. */
  readonly perSecond?: number;
  readonly ageMs: number;
}

/** A router that does not send to a target by itself asks one that does. */
export interface PermitsRequest extends RateLimitedTarget {
  /** Requests that it wants to send now; 0 where it only asks for the limit. */
  readonly wanted: number;
  readonly known: ObservedLimit;
}

export interface GrantedPermits {
  readonly permits: number;
  /** Absent where the router that answers knows nothing of the target. */
  readonly known?: ObservedLimit;
}

export type PermitsOutcome =
  | { readonly kind: 'lent'; readonly granted: GrantedPermits }
  | { readonly kind: 'failed'; readonly reason: string };

/** Capability `peers`: the other routers, as the directory knows them. */
export interface RouterPeers {
  /** `IP:port` of other routers, those of this router's zone first and otherwise in random order. */
  readonly listNearest: () => readonly string[];
  readonly borrowRetryQuota: (peer: string, loan: RetryQuotaRequest) => Promise<RetryQuotaOutcome>;
  /** Who decides what this router lends to others; until it is told, nothing is lent. */
  readonly setRetryQuotaLender: (lendRepeats: (loan: RetryQuotaRequest) => number) => void;
  /** `IP:port` of this router. */
  readonly self: string;
  /** All routers that are known, this one too. */
  readonly listRouters: () => readonly RouterLocation[];
  readonly sendReport: (peer: string, report: RolloutReport) => Promise<GuidanceOutcome>;
  /** To a router that counts crashes of their contents over all routers. */
  readonly reportCrashes: (peer: string, crashes: readonly Crash[]) => Promise<CrashReportOutcome>;
  readonly reportAnswers: (
    peer: string,
    answers: readonly ContentAnswer[],
  ) => Promise<CrashReportOutcome>;
  /** Tells a router the blocks that are known here, and learns those known there. */
  readonly exchangeBlocks: (
    peer: string,
    blocks: readonly ContentBlock[],
  ) => Promise<BlockExchangeOutcome>;
  readonly setCrashHandlers: (handlers: CrashHandlers) => void;
  readonly borrowPermits: (peer: string, question: PermitsRequest) => Promise<PermitsOutcome>;
  readonly setPermitsLender: (lendPermits: (question: PermitsRequest) => GrantedPermits) => void;
  /** Who takes in reports of other routers. */
  readonly setReportHandler: (handleReport: (report: RolloutReport) => RolloutGuidance) => void;
}
