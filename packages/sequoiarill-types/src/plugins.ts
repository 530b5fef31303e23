/** What a plug-in is to the kernel, and what the kernel gives it. */
import type { ServiceBroker, ServiceSchema } from 'moleculer';
import type { ZodType } from 'zod';

import type { ConfigurationExchange, ConfigurationReader } from './configuration';
import type { Directory, ForwardingWire } from './forwarding';
import type { GenerationRunner } from './generations';
import type { Journal } from './journal';
import type { KeyValueStore } from './keyValue';
import type { Membership } from './membership';
import type { OrderRunner } from './orders';
import type { RouterPeers } from './peers';
import type { Rollouts } from './rollouts';

/** Capabilities that plug-ins provide to each other; looked up once, at start. */
export interface Capabilities {
  readonly configuration: ConfigurationReader;
  readonly configurationExchange: ConfigurationExchange;
  readonly keyValue: KeyValueStore;
  readonly generations: GenerationRunner;
  readonly orders: OrderRunner;
  readonly membership: Membership;
  readonly wire: ForwardingWire;
  readonly directory: Directory;
  readonly peers: RouterPeers;
  readonly rollouts: Rollouts;
}

export type CapabilityName = keyof Capabilities;

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** A numbered log event; docs/operators/EVENTS.md lists them all. */
export interface EventDefinition {
  readonly number: number;
  readonly level: LogLevel;
  /** Stable name, such as `platform.away`. */
  readonly name: string;
  /** What happened and what an operator may do. */
  readonly message: string;
}

export type LogEvent = (
  definition: EventDefinition,
  fields?: Readonly<Record<string, unknown>>,
) => void;

export type MetricTags = Readonly<Record<string, string>>;

/** Silent when no sink is set. Names are listed in docs/operators/METRICS.md. */
export interface Metrics {
  readonly addCount: (name: string, value?: number, tags?: MetricTags) => void;
  readonly setGauge: (name: string, value: number, tags?: MetricTags) => void;
  /** Milliseconds. */
  readonly recordTiming: (name: string, valueMs: number, tags?: MetricTags) => void;
}

/** Time as an argument, so that tests run without waiting. */
export interface Clock {
  /** Monotonic, milliseconds; for deadlines on this process only. */
  readonly getNowMs: () => number;
  /**
   * Milliseconds without the pauses of this process: how long another process was silent is what this one
   * could have heard. Never for a time that somebody else measures too, such as a lease or a deadline.
   */
  readonly getRunningMs: () => number;
  /** ISO 8601; for people only. */
  readonly getWallTime: () => string;
  /** Ends early, without an error, when the signal is aborted. */
  readonly waitMs: (ms: number, signal?: AbortSignal) => Promise<void>;
}

/** The `[process]` section of the settings. */
export interface ProcessSettings {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

export type LifecyclePhase = 'starting' | 'ready' | 'draining' | 'stopped';

export interface PluginContext {
  readonly process: ProcessSettings;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly journal: Journal;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly nextRandom: () => number;
  readonly broker: ServiceBroker;
  readonly getPhase: () => LifecyclePhase;
  /** Whole process: phase, plug-ins and the state each of them dumps. */
  readonly dumpProcess: () => Promise<ProcessDump>;
  /** Asks the process to drain and stop, as SIGTERM does. */
  readonly requestStop: () => void;
  /** Only names the plug-in lists in `needs`. */
  readonly getCapability: <Name extends CapabilityName>(name: Name) => Capabilities[Name];
}

/** Values of a dump must survive `JSON.stringify` and never hold a secret. */
export type StateDump = Readonly<Record<string, unknown>>;

export interface ProcessDump {
  readonly process: ProcessSettings;
  readonly phase: LifecyclePhase;
  readonly uptimeSeconds: number;
  readonly memoryMB: number;
  readonly plugins: Readonly<Record<string, StateDump>>;
}

export interface PluginInstance {
  readonly capabilities?: Partial<Capabilities>;
  /** Local moleculer services, such as an HTTP front. */
  readonly services?: readonly ServiceSchema[];
  readonly start?: () => Promise<void>;
  /** Takes no new work and ends when the work in progress has ended. */
  readonly drain?: () => Promise<void>;
  readonly stop?: () => Promise<void>;
  readonly dumpState: () => StateDump;
}

export interface Plugin<Settings = unknown> {
  /** Also the name of its settings section. */
  readonly name: string;
  /** Checks the section; every key needs a default or a clear error. */
  readonly settingsSchema: ZodType<Settings>;
  readonly provides: readonly CapabilityName[];
  readonly needs: readonly CapabilityName[];
  readonly events: readonly EventDefinition[];
  readonly createInstance: (context: PluginContext, settings: Settings) => PluginInstance;
}
