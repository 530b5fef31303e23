/** Interfaces between the kernel and its plug-ins. */
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
import type { Room } from './room';

/** Capabilities that plug-ins provide to each other. They are resolved once, at start. */
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
  readonly room: Room;
}

export type CapabilityName = keyof Capabilities;

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** A numbered log event. All events are listed in docs/operators/EVENTS.md. */
export interface EventDefinition {
  readonly number: number;
  readonly level: LogLevel;
  /** Stable name, such as `platform.away`. */
  readonly name: string;
  /** What happened and what an operator can do about it. */
  readonly message: string;
}

export type LogEvent = (
  definition: EventDefinition,
  fields?: Readonly<Record<string, unknown>>,
) => void;

export type MetricTags = Readonly<Record<string, string>>;

/** Does nothing if no sink is set. Names are listed in docs/operators/METRICS.md. */
export interface Metrics {
  readonly addCount: (name: string, value?: number, tags?: MetricTags) => void;
  readonly setGauge: (name: string, value: number, tags?: MetricTags) => void;
  readonly recordTiming: (name: string, valueMs: number, tags?: MetricTags) => void;
}

/** A pause of this process, or a time in which its event loop was blocked and read nothing. */
export interface ProcessDelay {
  /** Monotonic milliseconds. */
  readonly endedAtMs: number;
  /** At least this long, milliseconds. */
  readonly lastedMs: number;
}

/** Source of time, passed as a dependency so that tests can replace it and run without waiting. */
export interface Clock {
  /** Monotonic time, milliseconds. Comparable within this process only. */
  readonly getNowMs: () => number;
  /**
   * Monotonic time without the pauses of this process, milliseconds. Measures the silence of
   * another process, from which nothing can be received during a pause. Never use it for a time
   * that another party measures as well, such as a lease or a deadline.
   */
  readonly getRunningMs: () => number;
  /** The longest recent delay of this process, or its last one; undefined if there was none. */
  readonly getLastDelay: () => ProcessDelay | undefined;
  /**
   * The longest time for which data that is read now may have waited in a socket buffer, milliseconds; 0 unless this
   * process has just been paused or blocked.
   */
  readonly getReadDelayMs: () => number;
  /** Wall-clock time, ISO 8601, for display only. */
  readonly getWallTime: () => string;
  /**
   * Resolves early, without an error, when the signal is aborted. Each wait lasts for a millisecond at least, so that a
   * loop whose waits end early still lets the process read its sockets and fire its timers.
   */
  readonly waitMs: (ms: number, signal?: AbortSignal) => Promise<void>;
}

/** The `[process]` section of the settings. */
export interface ProcessSettings {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Memory of the VM, megabytes; undefined where it is not known. */
  readonly memoryMb?: number | undefined;
  /** File descriptors that the process may open; undefined if not known. */
  readonly maxDescriptors?: number | undefined;
}

export type LifecyclePhase = 'starting' | 'ready' | 'draining' | 'stopped';

export interface PluginContext {
  readonly process: ProcessSettings;
  readonly logEvent: LogEvent;
  readonly metrics: Metrics;
  readonly journal: Journal;
  readonly clock: Clock;
  /** Uniformly distributed random number in [0, 1). */
  readonly nextRandom: () => number;
  readonly broker: ServiceBroker;
  readonly getPhase: () => LifecyclePhase;
  /** State of the process and of each plug-in. */
  readonly dumpProcess: () => Promise<ProcessDump>;
  /** Starts draining and stopping the process, as SIGTERM does. */
  readonly requestStop: () => void;
  /** Accepts only names that the plug-in lists in `needs`. */
  readonly getCapability: <Name extends CapabilityName>(name: Name) => Capabilities[Name];
}

/** Values must be serialisable by `JSON.stringify` and must not contain secrets. */
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
  /** Local moleculer services, such as an HTTP server. */
  readonly services?: readonly ServiceSchema[];
  readonly start?: () => Promise<void>;
  /** Stops accepting work and resolves once the work in progress has finished. */
  readonly drain?: () => Promise<void>;
  readonly stop?: () => Promise<void>;
  readonly dumpState: () => StateDump;
}

export interface Plugin<Settings = unknown> {
  /** Also the name of the plug-in's settings section. */
  readonly name: string;
  /** Validates the settings section. Every key needs a default or a clear error message. */
  readonly settingsSchema: ZodType<Settings>;
  readonly provides: readonly CapabilityName[];
  readonly needs: readonly CapabilityName[];
  readonly events: readonly EventDefinition[];
  readonly createInstance: (context: PluginContext, settings: Settings) => PluginInstance;
}
