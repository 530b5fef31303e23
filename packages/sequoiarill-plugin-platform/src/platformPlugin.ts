/** Plug-in `platform`: the key-value service, the configuration and its exchange. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import type { ConfigurationState } from './configurationState';
import * as Events from './events';
import * as FollowedConfigurations from './followedConfiguration';
import * as PlatformConnections from './platformConnection';
import { platformSchema } from './platformSettings';
import type { PlatformSettings } from './platformSettings';

/** Waits for the first configuration, so that a router that is ready knows its organisations. */
async function waitForFirst(
  state: ConfigurationState,
  context: PluginContext,
  limitMs: number,
): Promise<void> {
  if (state.getConfiguration().revision > 0) return;
  const first = new AbortController();
  const unsubscribe = state.subscribeConfiguration(() => first.abort());
  await context.clock.waitMs(limitMs, first.signal);
  unsubscribe();
}

function createInstance(context: PluginContext, settings: PlatformSettings): PluginInstance {
  const connection = PlatformConnections.openPlatform(settings, context.metrics);
  const { store, counter } = connection;
  const followed = FollowedConfigurations.createFollowedConfiguration({
    ...context,
    mode: settings.reader,
    store,
  });
  const { state } = followed;
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  return {
    capabilities: { configuration: state, configurationExchange: state, keyValue: store },
    async start() {
      running = followed.run(stopping.signal);
      await waitForFirst(state, context, settings.startWaitMs);
    },
    async stop() {
      stopping.abort();
      await running;
      await connection.close();
    },
    dumpState: () => ({
      endpoints: settings.endpoints,
      isAway: followed.isAway(),
      isReader: followed.isReader(),
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
