/** What is forwarded where: routes, their services and the targets that run them. */
import type { DecodedRolloutOrder, RolloutStatus } from './rollouts';

/** What may be sent a second time after a failure. */
export type RetryPolicy =
  /** May run any number of times. */
  | 'idempotent'
  /** May run once at most for each request of a caller. */
  | 'once'
  /** A stream that another target may continue after the last event that arrived. */
  | 'resumable';

export interface ForwardingRoute {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  /** The answer is a series of server-sent events. */
  readonly isStream: boolean;
  /** Runs on model engines, which hold the prompt in memory. */
  readonly hasPrompt: boolean;
  /** Needs no API key. */
  readonly isPublic: boolean;
  /** Longest time a caller is kept waiting for the whole answer, milliseconds. */
  readonly timeoutMs: number;
  /** Answers (streams: first events) within this time are on time, milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between two events that is still on time, milliseconds. */
  readonly maxGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Targets that one request may be sent to. */
  readonly maxTargets: number;
  readonly shares: readonly ServiceShare[];
}

export interface ServiceShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** What the model engines of a service can do. */
export interface EngineTraits {
  /** Tokens that running requests, copies and cached prompts share. */
  readonly kvCacheTokens: number;
  /** Whether a run's memory can be copied to another engine while it grows. */
  readonly hasBackups: boolean;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Time for which a copy outlives its run, milliseconds. */
  readonly copyLifetimeMs: number;
}

export interface ForwardingService {
  readonly name: string;
  /** Connections one of its targets accepts from all routers together. */
  readonly maxConnections: number;
  /** Path of the health check, whose answer names the target. */
  readonly healthPath: string;
  readonly engine?: EngineTraits;
}

/** What callers may send, and how long they may take or stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface ForwardingOrganisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
}

/** One accepted version of what is forwarded where. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: ReadonlyMap<string, ForwardingService>;
  readonly limits: CallerLimits;
  /** Absent: no keys are asked for. */
  readonly organisations?: readonly ForwardingOrganisation[];
}

export interface ForwardingTarget {
  /** Identity of one life of the process; told along with each request. */
  readonly id: string;
  /** Start of that life, Unix milliseconds; tells two lives under one id apart. */
  readonly startedAtUnixMs: number;
  readonly service: string;
  /** Of its software; empty where the target does not tell. */
  readonly version: string;
  /** Names and versions of the models it has loaded; the same text, the same output. */
  readonly models: string;
  /** `IP:port`. */
  readonly address: string;
  readonly zone: string;
  /** Requests it runs at once. */
  readonly slots: number;
  /**
   * `unconfirmed`: its entry went during an outage of the store or a cut from it. It may have left, or
   * lives and is about to write its entry again.
   */
  readonly state: 'ready' | 'draining' | 'unconfirmed';
  /** How much longer it stays slow after its start, milliseconds. */
  readonly warmupLeftMs: number;
}

/** What an engine says of its load. */
export interface EngineReport {
  readonly queued: number;
  readonly running: number;
  /** Running ones that have not made their first event. */
  readonly prefilling: number;
  /** Request ids of those that have. */
  readonly runIds: readonly string[];
  /** Tokens of memory that cannot yield. */
  readonly usedTokens: number;
  readonly totalTokens: number;
  readonly isLeaving: boolean;
}

/** One part of a prompt; parts before it are the same wherever it is. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens that an engine keeps in memory of each part of a prompt, by the part's id. */
export type CachedPromptParts = ReadonlyMap<string, number>;

/** A run goes on meanwhile; the copy has what it held when the copy was made. */
export interface CopyCommand {
  /** Request id of the run. */
  readonly runId: string;
  /** `IP:port` of the engine that is to keep the copy. */
  readonly holder: string;
}

export type DecodedConfiguration =
  | { readonly kind: 'configuration'; readonly configuration: ForwardingConfiguration }
  | { readonly kind: 'malformed'; readonly reason: string };

export type DecodedTarget =
  | { readonly kind: 'target'; readonly target: ForwardingTarget }
  | { readonly kind: 'malformed'; readonly reason: string };

/** Names of headers on the wire, all in lower case, by what they carry. */
export interface HeaderNames {
  readonly requestId: string;
  readonly remainingMs: string;
  readonly apiKey: string;
  readonly organisation: string;
  readonly expectedTarget: string;
  readonly lastEventId: string;
  readonly promptSize: string;
  readonly promptParts: string;
  /** `IP:port` of the engine that keeps a copy of the run's memory as it grows. */
  readonly backupTarget: string;
  /** Where the copy of a run's memory lies: `IP:port/run`. */
  readonly continueFrom: string;
  readonly priority: string;
  /** Tells that an answer is a target's own. */
  readonly signature: string;
  /** The target says that it did not run the request. */
  readonly notRun: string;
  /** Requests a second that the target takes from all routers together, while it says so. */
  readonly rateLimit: string;
  /** Identity of the target that answers. */
  readonly targetId: string;
}

/**
 * Capability `wire`, provided by the adapter to the environment the process runs in: how the names
 * and formats there map to the types above. It decides nothing.
 */
export interface ForwardingWire {
  readonly configurationKey: string;
  readonly targetPrefix: string;
  /** Prefix of the keys that routers may write. */
  readonly ownPrefix: string;
  readonly decodeConfiguration: (text: string) => DecodedConfiguration;
  readonly decodeTarget: (key: string, text: string) => DecodedTarget;
  /** An order's key is this and the service. */
  readonly rolloutPrefix: string;
  readonly decodeRolloutOrder: (text: string) => DecodedRolloutOrder;
  readonly formatRolloutStatusKey: (service: string) => string;
  readonly encodeRolloutStatus: (status: RolloutStatus) => string;
  readonly headers: HeaderNames;
  /** Headers that only this system may set towards targets; taken off what callers send. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Headers that tell what is to be run; a caller cannot have them dropped on the way. */
  readonly essentialHeaders: ReadonlySet<string>;
  readonly reportPath: string;
  readonly decodeReport: (text: string) => EngineReport | undefined;
  /** Parts in the order in which they are prefilled; none where the text cannot be read. */
  readonly decodePromptParts: (text: string) => readonly PromptPart[];
  /** Path at an engine that lists the parts of prompts that it keeps. */
  readonly cachedPartsPath: string;
  readonly decodeCachedParts: (text: string) => CachedPromptParts | undefined;
  /** Path at the engine of a run, where a copy of the run's memory at another engine is ordered. */
  readonly copyPath: string;
  readonly encodeCopyCommand: (order: CopyCommand) => string;
  /** Handle under which the copy is known at the engine of the run. */
  readonly decodeCopyHandle: (text: string) => string | undefined;
  /** Path at the engine of the run; deleting it frees the copy at both engines. */
  readonly formatCopyPath: (handle: string) => string;
}

/** One key of the store as it is known. */
export interface StoredEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** Capability `directory`: the newest accepted configuration and the targets that live. */
export interface Directory {
  /** Undefined until the first one is known. */
  readonly getConfiguration: () => ForwardingConfiguration | undefined;
  readonly listTargets: (service: string) => readonly ForwardingTarget[];
  /** The same life of a target as it is known now; undefined when it is gone or was replaced. */
  readonly findCurrent: (target: ForwardingTarget) => ForwardingTarget | undefined;
  /**
   * Whether the store tells what lives. While it does not, targets may have ended or begun another
   * life unseen.
   */
  readonly isUpToDate: () => boolean;
  /** Another life was met at a target's address while the store could not tell of it. */
  readonly recordReplacement: (replaced: ForwardingTarget, id: string) => void;
  /** Routers that are known to live, this one too; at least 1. */
  readonly countRouters: () => number;
  readonly subscribe: (listener: () => void) => () => void;
  /** Entries under a prefix, as far as the directory follows it. */
  readonly listEntries: (prefix: string) => readonly StoredEntry[];
  /** An entry that this router or a peer has written; older ones than known change nothing. */
  readonly recordEntry: (entry: StoredEntry) => void;
}
