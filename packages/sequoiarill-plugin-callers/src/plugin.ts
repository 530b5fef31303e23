/** Plug-in `callers`: connects the HTTP server to generations, orders and configuration. */
import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as Cursors from './cursors';
import * as Dispatch from './dispatch';
import * as Events from './events';
import type { HandlerDependencies } from './exchange';
import * as HttpServers from './httpServer';
import * as ResponseStores from './responseStore';
import { settingsSchema } from './settings';
import type { CallersSettings } from './settings';

/** Time for the last answers to leave the process. */
const FLUSH_MS = 150;

function createInstance(context: PluginContext, settings: CallersSettings): PluginInstance {
  const store = ResponseStores.createResponseStore(settings, context.clock);
  const deps: HandlerDependencies = {
    context,
    settings,
    configuration: context.getCapability('configuration'),
    generations: context.getCapability('generations'),
    orders: context.getCapability('orders'),
    store,
    cursors: Cursors.createCursorSigner(settings.cursorKey),
  };
  const dispatcher = Dispatch.createDispatcher(deps);
  const httpServer = HttpServers.createHttpServer(settings, dispatcher);
  return {
    services: [httpServer.service],
    async start() {
      await httpServer.start();
      context.logEvent(Events.LISTENING, { address: httpServer.getAddress() });
    },
    async drain() {
      const drained = Promise.all([dispatcher.drain(), store.drain()]);
      httpServer.closeIdle();
      await drained;
      // A caller may have reconnected meanwhile and may still be reading a response that has ended.
      await dispatcher.drain();
      httpServer.closeIdle();
      context.logEvent(Events.DRAINED, {});
    },
    async stop() {
      const ended = dispatcher.endAll();
      await Promise.race([ended, context.clock.waitMs(FLUSH_MS)]);
      store.close();
      await httpServer.stop();
    },
    dumpState: () => ({
      address: httpServer.getAddress(),
      openConnections: httpServer.getConnectionCount(),
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
