/** The plug-in `callers`: wires the HTTP front to generations, orders and configuration. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as Cursors from './cursors';
import * as Dispatch from './dispatch';
import * as Events from './events';
import type { Front } from './exchange';
import * as Fronts from './front';
import * as ResponseStores from './responseStore';
import { settingsSchema } from './settings';
import type { CallersSettings } from './settings';

function createInstance(context: PluginContext, settings: CallersSettings): PluginInstance {
  const store = ResponseStores.createResponseStore(settings, context.clock);
  const front: Front = {
    context,
    settings,
    configuration: context.getCapability('configuration'),
    generations: context.getCapability('generations'),
    orders: context.getCapability('orders'),
    store,
    cursors: Cursors.createCursorSigner(settings.cursorKey),
  };
  const dispatcher = Dispatch.createDispatcher(front);
  const http = Fronts.createHttpFront(settings, dispatcher);
  return {
    services: [http.service],
    async start() {
      await http.start();
      context.logEvent(Events.LISTENING, { address: http.getAddress() });
    },
    async drain() {
      const drained = Promise.all([dispatcher.drain(), store.drain()]);
      http.closeIdle();
      await drained;
      // A caller may have come back for a response that ended meanwhile, and is still reading it.
      await dispatcher.drain();
      http.closeIdle();
      context.logEvent(Events.DRAINED, {});
    },
    async stop() {
      store.close();
      await http.stop();
    },
    dumpState: () => ({
      address: http.getAddress(),
      openConnections: http.getConnectionCount(),
      requests: dispatcher.getStates(),
      isDraining: dispatcher.isDraining(),
      responses: store.getSize(),
    }),
  };
}

export const plugin: Plugin<CallersSettings> = {
  name: 'callers',
  settingsSchema,
  provides: [],
  needs: ['configuration', 'generations', 'orders'],
  events: Events.EVENTS,
  createInstance,
};
