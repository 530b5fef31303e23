/** The operators' configuration as an immutable snapshot, one for each revision. */

/** What an organisation optimises for when a generation continues after an engine was lost. */
export type ResumePreference = 'resumeLatency' | 'resourceUse';

export interface Model {
  readonly name: string;
  /**
   * A continued generation stays on this version. To the engines, another version is another model.
   */
  readonly version: string;
  readonly adapter?: string;
  /** Limit for prompt and output together, in tokens. */
  readonly contextTokens: number;
  /** Output limit of requests that set none, in tokens. */
  readonly maxOutputTokens: number;
}

/** One API key. The secret part is stored only as a salted hash. */
export interface OrganisationKey {
  readonly id: string;
  /** Hexadecimal. */
  readonly salt: string;
  /** Hexadecimal SHA-256 of the salt and the secret. */
  readonly hash: string;
}

export interface OrganisationLimits {
  /** Estimated prompt and output tokens per second, summed over all routers. */
  readonly tokensPerSecond: number;
  /** In-flight requests, summed over all routers. */
  readonly concurrentRequests: number;
}

export interface Organisation {
  readonly name: string;
  readonly models: readonly string[];
  readonly services: readonly string[];
  readonly keys: readonly OrganisationKey[];
  /** From 0, served first, to 9, refused first under overload. */
  readonly priority: number;
  /** Share of a saturated system, relative to the weights of other organisations. */
  readonly weight: number;
  readonly limits: OrganisationLimits;
  readonly preference: ResumePreference;
}

export interface PlainService {
  readonly name: string;
  /** Whether targets reject a repeated `Idempotency-Key`. */
  readonly checksIdempotencyKey: boolean;
  /** HTTP methods that may be retried after a failure. */
  readonly idempotentMethods: readonly string[];
  /** Time limit for an answer, in milliseconds. */
  readonly timeoutMs: number;
}

export type VmState = 'live' | 'leaving';

interface TargetBase {
  readonly name: string;
  readonly vm: string;
  readonly zone: string;
  /** `host:port`, where the host is an IP address. */
  readonly address: string;
  readonly vmState: VmState;
}

export interface EngineTarget extends TargetBase {
  readonly kind: 'engine';
  readonly models: readonly string[];
  /** Generations that the engine runs concurrently. */
  readonly slots: number;
  /** Whether the engine refuses a request that carries a stale fencing number. */
  readonly checksFencing: boolean;
}

export interface ServiceTarget extends TargetBase {
  readonly kind: 'service';
  readonly service: string;
}

export type Target = EngineTarget | ServiceTarget;

export interface KeyOwner {
  readonly organisation: Organisation;
  readonly key: OrganisationKey;
}

export interface Configuration {
  /** Revision in the platform's key-value store. Never decreases on a router. */
  readonly revision: number;
  readonly models: ReadonlyMap<string, Model>;
  readonly organisations: ReadonlyMap<string, Organisation>;
  readonly keysById: ReadonlyMap<string, KeyOwner>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly targets: ReadonlyMap<string, Target>;
}

export type Unsubscribe = () => void;

/** Capability `configuration`: the accepted configuration and its changes. */
export interface ConfigurationReader {
  /** The latest accepted snapshot, or an empty one with revision 0 before the first is loaded. */
  readonly getConfiguration: () => Configuration;
  readonly subscribeConfiguration: (
    listener: (configuration: Configuration) => void,
  ) => Unsubscribe;
}

/**
 * One accepted section of the configuration document, as stored. A section that was emptied remains
 * as a tombstone.
 */
export interface ConfigurationSection {
  readonly name: string;
  /** Revision of the key-value store at which this text was accepted. */
  readonly revision: number;
  readonly text: string;
}

/**
 * How recent a router's configuration is. Announcements are compared field by field in this order,
 * and that of a router never decreases.
 */
export interface ConfigurationAnnouncement {
  /** Fencing number of the zone reader, or 0 while none is known. */
  readonly readerFence: number;
  /** Heartbeat of that reader: incremented by each read that it confirmed. */
  readonly readerBeat: number;
  /** Revision up to which every section is known to this router. */
  readonly revision: number;
}

/** Capability `configurationExchange`: replicates the configuration document between routers. */
export interface ConfigurationExchange {
  readonly getAnnouncement: () => ConfigurationAnnouncement;
  /** Sections with a revision above the given one. */
  readonly listSectionsAfter: (revision: number) => readonly ConfigurationSection[];
  /** Merges a peer's sections. An older revision of a section never replaces a newer one. */
  readonly mergeSections: (
    announcement: ConfigurationAnnouncement,
    sections: readonly ConfigurationSection[],
  ) => void;
}
