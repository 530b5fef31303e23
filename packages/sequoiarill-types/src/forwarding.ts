/** Routes, the services behind them and the targets that run those services. */
import type { DecodedRolloutOrder, RolloutStatus } from './rollouts';

/** How the requests of a route may be retried after a failure. */
export type RetryPolicy =
  /** The request may run any number of times. */
  | 'idempotent'
  /** The request may run at most once. */
  | 'once'
  /** A stream that another target may resume after the last event received. */
  | 'resumable';

export interface ForwardingRoute {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  /** Whether the answer is a stream of server-sent events. */
  readonly isStream: boolean;
  /** Whether requests run on model engines, which cache prompts in their KV cache. */
  readonly hasPrompt: boolean;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Time limit for the complete answer, milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective for the answer, or for the first event of a stream, milliseconds. */
  readonly objectiveMs: number;
  /** Latency objective for the gap between two events of a stream, milliseconds. */
  readonly maxGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most targets that one request may be sent to. */
  readonly maxTargets: number;
  readonly shares: readonly ServiceShare[];
}

export interface ServiceShare {
  readonly service: string;
  /** Weight relative to the other shares of the route. */
  readonly weight: number;
}

/** Capacity and features of a service's model engines. */
export interface EngineTraits {
  /** KV cache size, shared by running requests, copies and cached prompts. */
  readonly kvCacheTokens: number;
  /** Whether a run's KV cache can be backed up to another engine while it grows. */
  readonly hasBackups: boolean;
  /** Tokens per event of a stream. */
  readonly tokensPerEvent: number;
  /** How long a copy is retained after its run has ended, milliseconds. */
  readonly copyLifetimeMs: number;
}

export interface ForwardingService {
  readonly name: string;
  /** Connections that one target accepts, summed over all routers. */
  readonly maxConnections: number;
  /** Path of the health check. Its response carries the id of the target. */
  readonly healthPath: string;
  readonly engine?: EngineTraits;
}

/** Size limits and timeouts for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface ForwardingOrganisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route. 0 is the most urgent. */
  readonly priority?: number;
}

/** One accepted version of the forwarding configuration. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: ReadonlyMap<string, ForwardingService>;
  readonly limits: CallerLimits;
  /** If absent, requests need no API key. */
  readonly organisations?: readonly ForwardingOrganisation[];
}

/** What the output of a target depends on. Only targets of equal builds continue each other's streams. */
export interface TargetBuild {
  /** Version of its software, an opaque text; empty where it is not known. */
  readonly version: string;
  /** Names and versions of the loaded models. */
  readonly models: string;
}

export interface ForwardingTarget extends TargetBuild {
  /** Identity of the target process, sent with each request so that another process rejects it. */
  readonly id: string;
  /** Process start, Unix milliseconds. Distinguishes two incarnations with the same id. */
  readonly startedAtUnixMs: number;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the target runs concurrently. */
  readonly slots: number;
  /**
   * `unconfirmed`: the entry disappeared during an outage of the store or a partition from it. The
   * target may have been removed, or it still runs and has yet to write its entry again.
   */
  readonly state: 'ready' | 'draining' | 'unconfirmed';
  /**
   * Set where the target was found at the address of another one, whose version is given: its own may be
   * another.
   */
  readonly isVersionPresumed?: boolean;
  /** Remaining warm-up time after a start, during which the target is slow, milliseconds. */
  readonly warmupLeftMs: number;
}

/** Load report of an engine. */
export interface EngineReport {
  /** Start of the process that reports, Unix milliseconds; undefined if it does not say. */
  readonly startedAtUnixMs?: number;
  readonly queued: number;
  readonly running: number;
  /** Running requests that have not produced their first event yet. */
  readonly prefilling: number;
  /** Ids of the running requests that have produced an event. */
  readonly runIds: readonly string[];
  /** Ranks of these requests, in the same order; absent if the engine does not tell them. */
  readonly runRanks?: readonly number[];
  /** Prompt tokens of the first waiting request; absent if none waits or the engine does not tell. */
  readonly nextTokens?: number;
  /** KV cache tokens that cannot be evicted. */
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly isLeaving: boolean;
}

/** One part of a prompt. Wherever the same part occurs, the parts before it are equal as well. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens that an engine has cached of each prompt part, by the id of the part. */
export type CachedPromptParts = ReadonlyMap<string, number>;

/**
 * Command to copy a run's KV cache to another engine. The run continues meanwhile; the copy holds
 * what the run held when the copy was made.
 */
export interface CopyCommand {
  /** Request id of the run. */
  readonly runId: string;
  /** `IP:port` of the engine that is to hold the copy. */
  readonly holder: string;
}

export type DecodedConfiguration =
  | { readonly kind: 'configuration'; readonly configuration: ForwardingConfiguration }
  | { readonly kind: 'malformed'; readonly reason: string };

export type DecodedTarget =
  | { readonly kind: 'target'; readonly target: ForwardingTarget }
  | { readonly kind: 'malformed'; readonly reason: string };

/** Header names on the wire, in lower case, by what they carry. */
export interface HeaderNames {
  readonly requestId: string;
  readonly remainingMs: string;
  readonly apiKey: string;
  readonly organisation: string;
  readonly expectedTarget: string;
  readonly lastEventId: string;
  /** Request id of the attempt that brought the first event of the stream that a caller resumes. */
  readonly resumedRequestId: string;
  readonly promptSize: string;
  readonly promptParts: string;
  /** `IP:port` of the engine that backs up the run's KV cache as it grows. */
  readonly backupTarget: string;
  /** Location of the copy of a run's KV cache, as `IP:port/run`. */
  readonly continueFrom: string;
  readonly priority: string;
  /** Marks an answer as produced by a target, not by something in between. */
  readonly signature: string;
  /** The caller's estimate of the number of output tokens. */
  readonly outputHint: string;
  /** Set by a target that did not run the request. */
  readonly notRun: string;
  /** Requests per second that the target accepts from all routers together, while it sends this. */
  readonly rateLimit: string;
  /** Id of the target that answers. */
  readonly targetId: string;
  /** `1` in all answers of a target that is about to stop. */
  readonly leaving: string;
  /**
   * Set in all answers of a target that falls over when it has to reject more than so many requests a second.
   */
  readonly brittle: string;
  /** Seconds, set by a target that answers 503 and wants no requests from this router meanwhile. */
  readonly retryAfter: string;
}

/**
 * Capability `wire`: maps the names and formats of the process's environment to the types above.
 * The adapter for that environment provides it. It makes no decisions.
 */
export interface ForwardingWire {
  readonly configurationKey: string;
  readonly targetPrefix: string;
  /** Prefix of the store keys that routers may write. */
  readonly ownPrefix: string;
  /** Prefix of the store keys with what began streams; the directory does not keep them. */
  readonly streamPrefix: string;
  readonly decodeConfiguration: (text: string) => DecodedConfiguration;
  readonly decodeTarget: (key: string, text: string) => DecodedTarget;
  /** Prefix of the keys of rollout orders; the service name follows. */
  readonly rolloutPrefix: string;
  readonly decodeRolloutOrder: (text: string) => DecodedRolloutOrder;
  readonly formatRolloutStatusKey: (service: string) => string;
  readonly encodeRolloutStatus: (status: RolloutStatus) => string;
  readonly headers: HeaderNames;
  /** Headers that only this system may send to targets. They are removed from callers' requests. */
  readonly reservedHeaders: ReadonlySet<string>;
  /**
   * Headers that determine what a target runs. A caller cannot have them removed by listing them in
   * `Connection`.
   */
  readonly essentialHeaders: ReadonlySet<string>;
  readonly reportPath: string;
  readonly decodeReport: (text: string) => EngineReport | undefined;
  /** Parts in prefill order, up to the first entry that cannot be parsed. */
  readonly decodePromptParts: (text: string) => readonly PromptPart[];
  /** Path at an engine that lists its cached prompt parts. */
  readonly cachedPartsPath: string;
  readonly decodeCachedParts: (text: string) => CachedPromptParts | undefined;
  /** Path at the engine of a run that accepts copy commands. */
  readonly copyPath: string;
  readonly encodeCopyCommand: (command: CopyCommand) => string;
  /** Handle of the copy at the engine of the run. */
  readonly decodeCopyHandle: (text: string) => string | undefined;
  /** Path of a copy at the engine of the run. A DELETE frees the copy at both engines. */
  readonly formatCopyPath: (handle: string) => string;
  /** Whether the environment says that callers of this deployment compete for too little room. */
  readonly expectsContention: boolean;
}

/** One key of the store at its last known revision. */
export interface StoredEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** Capability `directory`: the latest accepted configuration and the known targets. */
export interface Directory {
  /** Undefined until the first configuration is loaded. */
  readonly getConfiguration: () => ForwardingConfiguration | undefined;
  readonly listTargets: (service: string) => readonly ForwardingTarget[];
  /** Current state of the same incarnation, or undefined if the target was removed or replaced. */
  readonly findCurrent: (
    target: Pick<ForwardingTarget, 'id' | 'startedAtUnixMs'>,
  ) => ForwardingTarget | undefined;
  /**
   * Whether updates from the store arrive. While they do not, targets may have terminated or
   * restarted unnoticed.
   */
  readonly isUpToDate: () => boolean;
  /**
   * Time since which changes may be unknown here, in milliseconds: the age of the store's last confirmation.
   */
  readonly getConfirmedAgeMs: () => number;
  /**
   * Whether everything that the store held at a time, in monotonic milliseconds, is known here. Asks the store unless a
   * confirmation is as young. Resolves within `timeoutMs`.
   */
  readonly verifySince: (atMs: number, timeoutMs: number) => Promise<boolean>;
  /** Records that another incarnation answered at a target's address during a store outage. */
  readonly recordReplacement: (replaced: ForwardingTarget, id: string) => void;
  /**
   * Records that the target itself said that it is about to stop. It is `draining` from then on, until
   * its incarnation ends, whatever older entries of it say.
   */
  readonly recordLeaving: (target: ForwardingTarget) => void;
  /** Number of known routers, including this one; at least 1. */
  readonly countRouters: () => number;
  readonly subscribe: (listener: () => void) => () => void;
  /** Entries under a prefix, if the directory follows that prefix. */
  readonly listEntries: (prefix: string) => readonly StoredEntry[];
  /** Records an entry written by this router or a peer. Has no effect if a newer one is known. */
  readonly recordEntry: (entry: StoredEntry) => void;
}
