/** Life cycle of one process: start in order of need, drain and stop in reverse. */
import { isDeepStrictEqual } from 'node:util';

import type {
  Capabilities,
  CapabilityName,
  LifecyclePhase,
  LogEvent,
  Plugin,
  PluginContext,
  PluginInstance,
  ProcessDump,
  StateDump,
} from '@sequoiarill/types';
import { ServiceBroker } from 'moleculer';

import * as Clocks from './clock';
import * as Events from './events';
import * as Journals from './journal';
import * as KernelEvents from './kernelEvents';
import * as MetricsSenders from './metrics';
import * as MetricsPages from './metricsPage';
import * as Registry from './registry';
import * as Settings from './settings';
import type { SettingsResult } from './settings';

const BYTES_PER_MB = 1_048_576;
const MS_PER_SECOND = 1_000;
/** A local service is up within milliseconds; the broker's own poll of a second would add up. */
const START_TIMEOUT_MS = 10_000;
const START_POLL_MS = 10;

export interface KernelOptions {
  readonly settings: Settings.Settings;
  /** Those registered by import, unless a test gives its own. */
  readonly plugins?: readonly Plugin[];
  readonly logEvent?: LogEvent;
  readonly nextRandom?: () => number;
  /** Called when a plug-in asks the process to drain and stop. */
  readonly onStopRequested?: () => void;
}

export interface Kernel {
  readonly start: () => Promise<void>;
  /** Takes no new work and waits for the work in progress, for at most so long. */
  readonly drain: (limitMs: number) => Promise<void>;
  readonly stop: () => Promise<void>;
  /** Tells what a new reading of the settings file gave; nothing in use changes. */
  readonly recordSettings: (result: SettingsResult) => void;
  readonly dumpProcess: () => Promise<ProcessDump>;
  readonly getPhase: () => LifecyclePhase;
  readonly getCapability: PluginContext['getCapability'];
}

interface RunningPlugin {
  readonly plugin: Plugin;
  readonly instance: PluginInstance;
}

export function createKernel(options: KernelOptions): Kernel {
  const { settings } = options;
  const clock = Clocks.createSystemClock();
  const logger = Events.createLogger(settings.process.name, settings.telemetry.logLevel);
  const logEvent = options.logEvent ?? logger.logEvent;
  const { metricsSink, metricsListen } = settings.telemetry;
  const tags = { process: settings.process.name, zone: settings.process.zone };
  const page = metricsListen === undefined ? undefined : MetricsPages.createMetricsPage(tags);
  const metrics = MetricsSenders.createMetrics(metricsSink, tags, page);
  const journal = Journals.createJournal(clock);
  const startedMs = clock.getNowMs();
  const running: RunningPlugin[] = [];
  const capabilities = new Map<CapabilityName, unknown>();
  let phase: LifecyclePhase = 'starting';

  // Moleculer carries local services and their life cycle only; nothing of it leaves the process.
  const broker = new ServiceBroker({
    nodeID: settings.process.name,
    logger: false,
    transporter: null,
    skipProcessEventRegistration: true,
  });

  function getCapability<Name extends CapabilityName>(name: Name): Capabilities[Name] {
    if (!capabilities.has(name)) throw new Error(`capability "${name}" is not provided`);
    return capabilities.get(name) as Capabilities[Name];
  }

  async function dumpProcess(): Promise<ProcessDump> {
    const dumps = running.map(({ plugin, instance }): [string, StateDump] => [
      plugin.name,
      instance.dumpState(),
    ]);
    return {
      process: settings.process,
      phase,
      uptimeSeconds: Math.round((clock.getNowMs() - startedMs) / MS_PER_SECOND),
      memoryMB: Math.round(process.memoryUsage().rss / BYTES_PER_MB),
      plugins: Object.fromEntries(dumps),
    };
  }

  function createContext(plugin: Plugin): PluginContext {
    return {
      process: settings.process,
      logEvent,
      metrics,
      journal,
      clock,
      nextRandom: options.nextRandom ?? Math.random,
      broker,
      getPhase: () => phase,
      dumpProcess,
      requestStop: () => options.onStopRequested?.(),
      getCapability(name) {
        if (!plugin.needs.includes(name)) {
          throw new Error(`plug-in "${plugin.name}" does not list "${name}" in its needs`);
        }
        return getCapability(name);
      },
    };
  }

  async function startPlugin(plugin: Plugin): Promise<void> {
    const section = settings.plugins.get(plugin.name);
    const instance = plugin.createInstance(createContext(plugin), section);
    const provided = Object.entries(instance.capabilities ?? {}) as [CapabilityName, unknown][];
    provided.forEach(([name, capability]) => capabilities.set(name, capability));
    running.push({ plugin, instance });
    await instance.start?.();
    for (const schema of instance.services ?? []) {
      const service = broker.createService(schema);
      await broker.waitForServices(service.fullName, START_TIMEOUT_MS, START_POLL_MS);
    }
  }

  function recordSettings(result: SettingsResult): void {
    if (result.kind === 'faults') {
      const faults = result.faults.map(Settings.formatFault);
      logEvent(KernelEvents.SETTINGS_FAULTY, { faults });
      return;
    }
    const isSame = isDeepStrictEqual(result.settings, settings);
    logEvent(KernelEvents.SETTINGS_READ, { isSame });
  }

  return {
    async start() {
      await broker.start();
      if (metricsListen !== undefined) await page?.open(metricsListen);
      for (const plugin of Registry.sortPlugins(options.plugins ?? Registry.listPlugins())) {
        await startPlugin(plugin);
      }
      phase = 'ready';
      logEvent(KernelEvents.PROCESS_READY, { zone: settings.process.zone });
    },
    async drain(limitMs) {
      phase = 'draining';
      logEvent(KernelEvents.PROCESS_DRAINING, { limitMs });
      const limit = new AbortController();
      const drained = Promise.all(running.map(({ instance }) => instance.drain?.()));
      await Promise.race([drained, clock.waitMs(limitMs, limit.signal)]);
      limit.abort();
    },
    async stop() {
      for (const { instance } of [...running].reverse()) await instance.stop?.();
      await broker.stop();
      await page?.close();
      phase = 'stopped';
      logEvent(KernelEvents.PROCESS_STOPPED, {});
      metrics.close();
      logger.close();
    },
    recordSettings,
    dumpProcess,
    getPhase: () => phase,
    getCapability,
  };
}
