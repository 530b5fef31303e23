/** Messages between routers other than directory records. */
import type { TargetBuild } from './forwarding';
import type { PartCalls, PartHandlers } from './promptParts';
import type { RoomFacts, RoomMessage, RoomOutcome } from './room';

/** One router's request for part of another router's retry quota for a service. */
export interface RetryQuotaRequest {
  readonly service: string;
  /** Number of retries; may be fractional. */
  readonly repeats: number;
}

export type RetryQuotaOutcome =
  | { readonly kind: 'granted'; readonly repeats: number }
  /** The call failed, or the peer did not respond in time. */
  | { readonly kind: 'failed'; readonly reason: string };

/** One router's counts of the answers of one version on one route, since the rollout order. */
export interface VersionCounts {
  readonly route: string;
  /** If absent, the counts cover all targets of the version that is being replaced. */
  readonly target?: string;
  readonly failures: number;
  /** Number of answers other than failures, by latency class. */
  readonly byLatency: readonly number[];
  /** Number of unanswered requests, by the latency class of their waiting time so far. */
  readonly waiting: readonly number[];
}

/** One router's observations of a rollout. */
export interface RolloutReport {
  readonly service: string;
  /** Revision of the rollout order. It identifies the rollout. */
  readonly orderRevision: number;
  /** `IP:port` of the reporting router, as its peers know it. */
  readonly router: string;
  /** Time since the order, as far as this router knows, milliseconds. */
  readonly elapsedMs: number;
  /** In-flight requests of this router at targets that receive no new work. */
  readonly leaving: number;
  readonly tallies: readonly VersionCounts[];
}

/** Response to a rollout report, from the router that evaluates the rollout. */
export interface RolloutGuidance {
  /** The version was found bad and receives no requests, even before this is in the store. */
  readonly isHalted: boolean;
  /** Targets of the version that were found bad individually. */
  readonly avoided: readonly string[];
  /** State of the rollout, if the responding router knows one. */
  readonly state?: { readonly revision: number; readonly value: string };
}

export type GuidanceOutcome =
  | { readonly kind: 'guided'; readonly guidance: RolloutGuidance }
  | { readonly kind: 'failed'; readonly reason: string };

/**
 * A target terminated while it began to run a request with this content. The content is a hash of a
 * request's method, host, path, organisation and body.
 */
export interface Crash {
  readonly content: string;
  /** One incarnation of a target. Several crash reports for it count as one. */
  readonly target: string;
  readonly ageMs: number;
}

/** A request content that terminated so many targets that no router sends it to another one. */
export interface ContentBlock {
  readonly content: string;
  /** Ages of the first and of the last crash, milliseconds. */
  readonly firstAgeMs: number;
  readonly lastAgeMs: number;
}

/** A request with this content was answered completely, so the content caused no earlier crash. */
export interface ContentAnswer {
  readonly content: string;
  readonly ageMs: number;
}

/** Targets of the service say that they are brittle. */
export interface BrittleReport {
  readonly service: string;
  /** Time since the last answer that said so. */
  readonly ageMs: number;
}

export type CrashReportOutcome =
  { readonly kind: 'counted' } | { readonly kind: 'failed'; readonly reason: string };

export type BlockExchangeOutcome =
  | { readonly kind: 'blocks'; readonly blocks: readonly ContentBlock[] }
  | { readonly kind: 'failed'; readonly reason: string };

/** Handlers for crash reports, answers and blocks received from peers. */
export interface CrashHandlers {
  readonly handleCrashes: (crashes: readonly Crash[]) => void;
  readonly handleAnswers: (answers: readonly ContentAnswer[]) => void;
  /** Returns the blocks that this router knows. */
  readonly handleBlocks: (blocks: readonly ContentBlock[]) => readonly ContentBlock[];
}

export interface RouterLocation {
  /** Stays the same when the router starts again; if known. */
  readonly name?: string;
  /** `IP:port`, as the router's peers know it. */
  readonly address: string;
  readonly zone: string;
  /** `IP:port` on which it takes requests of other routers' callers; absent if it takes none. */
  readonly relayAddress?: string;
  /** Differs after the router has registered anew, as a new process does. */
  readonly registration?: number;
}

export interface RateLimitedTarget {
  /** Identifies one incarnation of a target. */
  readonly life: string;
  readonly zone: string;
}

/** The rate limit that a target announced last. */
export interface ObservedLimit {
  /** Requests per second from all routers together; absent if the target announces no limit now. */
  readonly perSecond?: number;
  readonly ageMs: number;
}

/**
 * Request for permits to send to a rate-limited target, from a router that has no share of the
 * limit to one that has.
 */
export interface PermitsRequest extends RateLimitedTarget {
  /** Number of requests to send now, or 0 to exchange only the known limit. */
  readonly wanted: number;
  readonly known: ObservedLimit;
}

export interface GrantedPermits {
  readonly permits: number;
  /** Absent if the responding router knows no limit of the target. */
  readonly known?: ObservedLimit;
}

export type PermitsOutcome =
  | { readonly kind: 'granted'; readonly granted: GrantedPermits }
  | { readonly kind: 'failed'; readonly reason: string };

/** Identifies a stream by the attempt that brought its first event. */
export interface StreamKey {
  /** Empty where callers need no API key. Equal ids of two organisations are of different streams. */
  readonly organisation: string;
  readonly requestId: string;
}

/** What began a stream, and has to go on with it. */
export interface StreamOrigin extends TargetBuild {
  readonly service: string;
  /** Id of the target that brought its first event, and may still have its prompt in the KV cache; if known. */
  readonly target?: string | undefined;
}

/** One stream whose origin a router remembers. */
export interface OriginRecord extends StreamKey {
  readonly origin: StreamOrigin;
  /** Time since its first event. */
  readonly ageMs: number;
  /** Time for which the stream may still be resumed. */
  readonly leftMs: number;
}

/** Asks for the origin of a stream. */
export interface OriginQuery extends StreamKey {
  /** Services that the stream's route has. */
  readonly services: readonly string[];
}

/**
 * How the origin of a stream is known: a router remembers the stream, or a single build has served for as long
 * as streams last.
 */
export type OriginSource = 'memory' | 'onlyBuild';

export type OriginReply =
  | {
      readonly kind: 'found';
      readonly origin: StreamOrigin;
      readonly source: OriginSource;
      /** Time since the first event of the stream; undefined where it is not remembered. */
      readonly ageMs?: number;
      /** Whether the store has confirmed the only build since the router was asked. */
      readonly isVerified: boolean;
    }
  | { readonly kind: 'unknown' };

export type OriginOutcome =
  | OriginReply
  | {
      readonly kind: 'failed';
      readonly reason: string;
      /** No response came in time: the peer may know the stream all the same. */
      readonly isSilent?: boolean;
    };

/** Handlers for origins of streams that peers report or ask for. */
export interface OriginHandlers {
  readonly handleOrigins: (records: readonly OriginRecord[]) => void;
  readonly handleOriginQuery: (query: OriginQuery) => OriginReply | Promise<OriginReply>;
}

/** Asks whether a router has heard targets of a service lately. */
export interface ContactQuery {
  readonly service: string;
}

export interface ContactReply {
  /**
   * Time since a target of the service answered the router itself, or sent it an event of a stream, milliseconds;
   * absent if none ever has. Answers that came through another router do not count.
   */
  readonly heardAgeMs?: number;
}

/** `failed` says nothing about targets: a router of an earlier build does not know the call. */
export type ContactOutcome =
  | { readonly kind: 'contact'; readonly contact: ContactReply }
  | { readonly kind: 'failed'; readonly reason: string };

/** Capability `peers`: calls to the other routers that the directory lists. */
export interface RouterPeers extends PartCalls {
  /** `IP:port` of the other routers, the local zone first, each group in random order. */
  readonly listNearest: () => readonly string[];
  readonly borrowRetryQuota: (
    peer: string,
    request: RetryQuotaRequest,
  ) => Promise<RetryQuotaOutcome>;
  /** Sets the function that grants retry quota to other routers. Until then, none is granted. */
  readonly setRetryQuotaLender: (grantQuota: (request: RetryQuotaRequest) => number) => void;
  /** `IP:port` of this router. */
  readonly self: string;
  /** All known routers, including this one. */
  readonly listRouters: () => readonly RouterLocation[];
  /** Whether an earlier process of this router was registered when this one started; also true until that is known. */
  readonly hasPredecessor: () => boolean;
  /** What the earlier process of this router left when it stopped as planned; undefined where it ended otherwise. */
  readonly getStopRecord: () => string | undefined;
  /** Sets the function that builds what this process leaves to the next one. */
  readonly setStopRecord: (build: () => string) => void;
  readonly sendReport: (peer: string, report: RolloutReport) => Promise<GuidanceOutcome>;
  /** Reports crashes to an aggregator, which counts them for all routers by content. */
  readonly reportCrashes: (peer: string, crashes: readonly Crash[]) => Promise<CrashReportOutcome>;
  readonly reportAnswers: (
    peer: string,
    answers: readonly ContentAnswer[],
  ) => Promise<CrashReportOutcome>;
  /** Sends this router's blocks to a peer and receives those that the peer knows. */
  readonly exchangeBlocks: (
    peer: string,
    blocks: readonly ContentBlock[],
  ) => Promise<BlockExchangeOutcome>;
  readonly setCrashHandlers: (handlers: CrashHandlers) => void;
  readonly borrowPermits: (peer: string, request: PermitsRequest) => Promise<PermitsOutcome>;
  /** Sets the function that grants permits to other routers. Until then, none are granted. */
  readonly setPermitsLender: (grantPermits: (request: PermitsRequest) => GrantedPermits) => void;
  /**
   * Registers this router in the store, once its listeners are bound. Other routers do not find it before.
   * `relayAddress`: `IP:port` on which it takes requests of their callers, if it does.
   */
  readonly registerSelf: (relayAddress: string | undefined) => void;
  readonly reportBrittle: (peer: string, report: BrittleReport) => Promise<CrashReportOutcome>;
  readonly setBrittleHandler: (handleBrittle: (report: BrittleReport) => void) => void;
  readonly reportOrigins: (
    peer: string,
    records: readonly OriginRecord[],
  ) => Promise<CrashReportOutcome>;
  readonly findOrigin: (peer: string, query: OriginQuery) => Promise<OriginOutcome>;
  /** Ends within about 150 ms, also where the peer does not respond. */
  readonly findContact: (peer: string, query: ContactQuery) => Promise<ContactOutcome>;
  /** Sets the function that answers `findContact` of other routers. Until then, nothing was heard. */
  readonly setContactHandler: (
    handleQuery: (query: ContactQuery) => ContactReply | Promise<ContactReply>,
  ) => void;
  readonly setOriginHandlers: (handlers: OriginHandlers) => void;
  readonly setPartHandlers: (handlers: PartHandlers) => void;
  /** Tells a peer what this router knows of its services, and learns what the peer knows of them. */
  readonly exchangeRoom: (peer: string, message: RoomMessage) => Promise<RoomOutcome>;
  /**
   * Sets the handler for messages about room; it returns what this router knows. `recordRefusal` is called for
   * messages that are malformed, with the name that the sender gave.
   */
  readonly setRoomHandler: (
    handleRoom: (message: RoomMessage) => readonly RoomFacts[] | Promise<readonly RoomFacts[]>,
    recordRefusal?: (sender: string, reason: string) => void,
  ) => void;
  /** Sets the handler for rollout reports of other routers. */
  readonly setReportHandler: (handleReport: (report: RolloutReport) => RolloutGuidance) => void;
}
