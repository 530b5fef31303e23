/** Plug-in `platform`: access to the key-value service, and the configuration stored in it. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import type { ConfigurationState } from './configurationState';
import * as ConfigurationSyncs from './configurationSync';
import * as Events from './events';
import * as PlatformConnections from './platformConnection';
import { platformSchema } from './platformSettings';
import type { PlatformSettings } from './platformSettings';

/**
 * Waits for the first configuration, so that a router does not report ready without organisations.
 */
async function waitForInitialConfiguration(
  state: ConfigurationState,
  context: PluginContext,
  limitMs: number,
): Promise<void> {
  if (state.getConfiguration().revision > 0) return;
  const received = new AbortController();
  const unsubscribe = state.subscribeConfiguration(() => received.abort());
  await context.clock.waitMs(limitMs, received.signal);
  unsubscribe();
}

function createInstance(context: PluginContext, settings: PlatformSettings): PluginInstance {
  const connection = PlatformConnections.openPlatform(settings, context.metrics);
  const { store, counter } = connection;
  const sync = ConfigurationSyncs.createConfigurationSync({
    ...context,
    mode: settings.reader,
    store,
  });
  const { state } = sync;
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  return {
    capabilities: { configuration: state, configurationExchange: state, keyValue: store },
    async start() {
      running = sync.run(stopping.signal);
      await waitForInitialConfiguration(state, context, settings.startWaitMs);
    },
    async stop() {
      stopping.abort();
      await running;
      await connection.close();
    },
    dumpState: () => ({
      endpoints: settings.endpoints,
      isAway: sync.isUnavailable(),
      isReader: sync.isReader(),
      calls: counter.getCounts(),
      configuration: state.dumpState(),
    }),
  };
}

export const platformPlugin: Plugin<PlatformSettings> = {
  name: 'platform',
  settingsSchema: platformSchema,
  provides: ['configuration', 'configurationExchange', 'keyValue'],
  needs: [],
  events: Object.values(Events),
  createInstance,
};
