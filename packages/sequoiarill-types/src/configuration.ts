/** The operators' configuration as a router sees it: one immutable snapshot for each revision. */

/** What an organisation weighs more after the loss of an engine. */
export type ResumePreference = 'resumeLatency' | 'resourceUse';

export interface Model {
  readonly name: string;
  /** Continuations stay on this version; a change of it is a new model to the engines. */
  readonly version: string;
  readonly adapter?: string;
  /** Prompt and output together, in tokens. */
  readonly contextTokens: number;
  /** Used where a request names no limit of its own, in tokens. */
  readonly maxOutputTokens: number;
}

/** One API key. The secret part is known only as a salted hash. */
export interface OrganisationKey {
  readonly id: string;
  /** Hexadecimal. */
  readonly salt: string;
  /** Hexadecimal SHA-256 of salt and secret. */
  readonly hash: string;
}

export interface OrganisationLimits {
  /** Estimated prompt and output tokens a second over the whole fleet. */
  readonly tokensPerSecond: number;
  /** Requests in progress over the whole fleet. */
  readonly concurrentRequests: number;
}

export interface Organisation {
  readonly name: string;
  readonly models: readonly string[];
  readonly services: readonly string[];
  readonly keys: readonly OrganisationKey[];
  /** 0 is served first, 9 is turned away first. */
  readonly priority: number;
  /** Share of a saturated system, relative to the other organisations. */
  readonly weight: number;
  readonly limits: OrganisationLimits;
  readonly preference: ResumePreference;
}

export interface PlainService {
  readonly name: string;
  /** Whether its targets refuse a second request with the same `Idempotency-Key`. */
  readonly checksIdempotencyKey: boolean;
  /** Methods that may be sent again after a failure. */
  readonly idempotentMethods: readonly string[];
  /** Time for one answer, in milliseconds. */
  readonly timeoutMs: number;
}

export type VmState = 'live' | 'leaving';

interface TargetBase {
  readonly name: string;
  readonly vm: string;
  readonly zone: string;
  /** `host:port`, by IP number. */
  readonly address: string;
  readonly vmState: VmState;
}

export interface EngineTarget extends TargetBase {
  readonly kind: 'engine';
  readonly models: readonly string[];
  /** Generations it runs at once. */
  readonly slots: number;
  /** Whether it refuses an order that carries an old fencing number. */
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
  /** Revision of the platform's key-value service; only ever rises on one router. */
  readonly revision: number;
  readonly models: ReadonlyMap<string, Model>;
  readonly organisations: ReadonlyMap<string, Organisation>;
  readonly keysById: ReadonlyMap<string, KeyOwner>;
  readonly services: ReadonlyMap<string, PlainService>;
  readonly targets: ReadonlyMap<string, Target>;
}

export type Unsubscribe = () => void;

/** Capability `configuration`. */
export interface ConfigurationReader {
  /** The newest accepted snapshot; an empty one with revision 0 before the first is known. */
  readonly getConfiguration: () => Configuration;
  readonly subscribeConfiguration: (
    listener: (configuration: Configuration) => void,
  ) => Unsubscribe;
}

/** One accepted section of the document, as stored. An emptied section is kept as a tombstone. */
export interface ConfigurationSection {
  readonly name: string;
  /** Revision of the key-value service at which this text was accepted. */
  readonly revision: number;
  readonly text: string;
}

/** How fresh a router's configuration is; compared field by field in this order, only rising. */
export interface ConfigurationAnnouncement {
  /** Fencing number of the zone's reader; 0 while no reader was heard of. */
  readonly readerFence: number;
  /** Rises with each confirmed read of that reader. */
  readonly readerBeat: number;
  /** Revision up to which every section is known. */
  readonly revision: number;
}

/** Capability `configurationExchange`: lets routers learn the document from each other. */
export interface ConfigurationExchange {
  readonly getAnnouncement: () => ConfigurationAnnouncement;
  /** Sections whose revision is above the given one. */
  readonly listSectionsAfter: (revision: number) => readonly ConfigurationSection[];
  /** Takes in what a peer has; older revisions of a section never replace newer ones. */
  readonly mergeSections: (
    news: ConfigurationAnnouncement,
    sections: readonly ConfigurationSection[],
  ) => void;
}
