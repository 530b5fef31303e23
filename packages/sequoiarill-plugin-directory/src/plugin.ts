/** Plug-in `directory`: knows what is forwarded where and which targets live. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';
import * as Zod from 'zod';

import * as DirectoryStates from './directoryState';
import * as Events from './events';
import * as StoreFollowers from './storeFollower';

/** Section `[directory]`. */
export const settingsSchema = Zod.strictObject({});

export type DirectorySettings = Readonly<Zod.infer<typeof settingsSchema>>;

function createInstance(context: PluginContext): PluginInstance {
  const { clock, logEvent, nextRandom } = context;
  const wire = context.getCapability('wire');
  const store = context.getCapability('keyValue');
  const state = DirectoryStates.createDirectoryState({
    wire,
    logEvent,
    getNowMs: clock.getNowMs,
  });
  const follower = StoreFollowers.createStoreFollower({
    store,
    state,
    clock,
    logEvent,
    nextRandom,
  });
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  return {
    capabilities: { directory: state },
    async start() {
      running = follower.run(stopping.signal);
    },
    async stop() {
      stopping.abort();
      await running;
    },
    dumpState: () => ({
      isConnected: follower.isConnected(),
      revision: state.getRevision(),
      version: state.getConfiguration()?.version,
      routes: state.getConfiguration()?.routes.length ?? 0,
    }),
  };
}

export const plugin: Plugin<DirectorySettings> = {
  name: 'directory',
  settingsSchema,
  provides: ['directory'],
  needs: ['wire', 'keyValue'],
  events: Events.EVENTS,
  createInstance,
};
