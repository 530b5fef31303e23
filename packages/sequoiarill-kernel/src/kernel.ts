/**
 * Life cycle of one process: starts plug-ins in dependency order, drains them, and stops them in
 * reverse order.
 */
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
import * as EventLoops from './eventLoop';
import * as Events from './events';
import * as Journals from './journal';
import * as KernelEvents from './kernelEvents';
import * as MetricsSenders from './metrics';
import * as MetricsPages from './metricsPage';
import * as ProcessMonitors from './processMonitor';
import * as Registry from './registry';
import * as Settings from './settings';
import type { SettingsResult } from './settings';

const BYTES_PER_MB = 1_048_576;
const MS_PER_SECOND = 1_000;
const START_TIMEOUT_MS = 10_000;
/**
 * Local services start within milliseconds; the broker's default polling interval of 1 s per
 * service would add up.
 */
const START_POLL_MS = 10;

export interface KernelOptions {
  readonly settings: Settings.Settings;
  /** Defaults to the plug-ins that registered themselves on import. */
  readonly plugins?: readonly Plugin[];
  readonly logEvent?: LogEvent;
  readonly nextRandom?: () => number;
  /** Called when a plug-in asks the process to drain and stop. */
  readonly onStopRequested?: () => void;
}

export interface Kernel {
  /** Ends early where the process drains before all plug-ins have started. */
  readonly start: () => Promise<void>;
  /** Stops accepting new work and waits up to `limitMs` for the work in progress. */
  readonly drain: (limitMs: number) => Promise<void>;
  readonly stop: () => Promise<void>;
  /** Logs the result of re-reading the settings file; the settings in use do not change. */
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
  const clock = Clocks.createSystemClock(() => monitor.recordTick());
  const logger = Events.createLogger(settings.process.name, settings.telemetry.logLevel);
  const logEvent = options.logEvent ?? logger.logEvent;
  const { metricsSink, metricsListen } = settings.telemetry;
  const tags = { process: settings.process.name, zone: settings.process.zone };
  const metricsPage =
    metricsListen === undefined ? undefined : MetricsPages.createMetricsPage(tags);
  const metricsSender = MetricsSenders.createMetrics(metricsSink, tags, metricsPage);
  const monitor = ProcessMonitors.createProcessMonitor(logEvent, metricsSender);
  const { metrics } = monitor;
  const journal = Journals.createJournal(clock);
  const startedMs = clock.getNowMs();
  const runningPlugins: RunningPlugin[] = [];
  const capabilities = new Map<CapabilityName, unknown>();
  let phase: LifecyclePhase = 'starting';

  // The broker is used for local services and their life cycle only; it has no transporter.
  const broker = new ServiceBroker({
    nodeID: settings.process.name,
    logger: false,
    transporter: null,
    skipProcessEventRegistration: true,
  });

  function getCapability<Name extends CapabilityName>(name: Name): Capabilities[Name] {
    if (!capabilities.has(name)) throw new Error(`capability "${name}" has no provider`);
    return capabilities.get(name) as Capabilities[Name];
  }

  async function dumpProcess(): Promise<ProcessDump> {
    const dumps = runningPlugins.map(({ plugin, instance }): [string, StateDump] => [
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
          throw new Error(`plug-in "${plugin.name}" must list capability "${name}" in its needs`);
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
    runningPlugins.push({ plugin, instance });
    await instance.start?.();
    for (const schema of instance.services ?? []) {
      const service = broker.createService(schema);
      await broker.waitForServices(service.fullName, START_TIMEOUT_MS, START_POLL_MS);
    }
  }

  function isStarting(): boolean {
    return phase === 'starting';
  }

  /** The work of the other plug-ins goes on where the drain of one fails. */
  async function drainPlugin({ plugin, instance }: RunningPlugin): Promise<void> {
    try {
      await instance.drain?.();
    } catch (error) {
      logEvent(KernelEvents.DRAIN_FAILED, { plugin: plugin.name, error });
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
      if (metricsListen !== undefined) await metricsPage?.open(metricsListen);
      for (const plugin of Registry.sortPlugins(options.plugins ?? Registry.listPlugins())) {
        // What starts after a stop has begun would take work that nothing waits for.
        if (!isStarting()) return;
        await startPlugin(plugin);
      }
      if (!isStarting()) return;
      phase = 'ready';
      logEvent(KernelEvents.PROCESS_READY, {
        zone: settings.process.zone,
        ...EventLoops.computeStartCost(),
      });
    },
    async drain(limitMs) {
      phase = 'draining';
      logEvent(KernelEvents.PROCESS_DRAINING, { limitMs });
      const timeout = new AbortController();
      const drained = Promise.all(runningPlugins.map(drainPlugin));
      await Promise.race([drained, clock.waitMs(limitMs, timeout.signal)]);
      timeout.abort();
    },
    async stop() {
      for (const { instance } of [...runningPlugins].reverse()) await instance.stop?.();
      await broker.stop();
      await metricsPage?.close();
      phase = 'stopped';
      logEvent(KernelEvents.PROCESS_STOPPED, {});
      monitor.stop();
      metricsSender.close();
      logger.close();
    },
    recordSettings,
    dumpProcess,
    getPhase: () => phase,
    getCapability,
  };
}
