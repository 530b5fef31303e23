/** Plug-in `operators`: state dump, explanations, readiness and draining on a separate listener. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Plugin, PluginContext, PluginInstance } from '@sequoiarill/types';

import * as ErrorResponses from './errorResponses';
import * as Authorisation from './authorisation';
import * as Events from './events';
import * as Listeners from './listener';
import * as Metrics from './metrics';
import * as Services from './service';
import * as Settings from './settings';

const HTTP_UNAUTHORISED = 401;

export const plugin: Plugin<Settings.OperatorsSettings> = {
  name: 'operators',
  settingsSchema: Settings.settingsSchema,
  provides: [],
  needs: [],
  events: Events.EVENTS,
  createInstance,
};

export function createInstance(
  context: PluginContext,
  settings: Settings.OperatorsSettings,
): PluginInstance {
  const listener = Listeners.createListener(settings.listen);

  function admitRequest(request: IncomingMessage, response: ServerResponse): boolean {
    context.metrics.addCount(Metrics.CALLS);
    if (Authorisation.isAuthorised(request, settings.token)) return true;
    context.metrics.addCount(Metrics.CALLS_REFUSED);
    context.logEvent(Events.CALL_REFUSED, { from: request.socket.remoteAddress });
    const message = 'send the token of section [operators] as "Authorization: Bearer TOKEN"';
    ErrorResponses.sendError(response, HTTP_UNAUTHORISED, 'unauthorised', message);
    return false;
  }

  return {
    services: [Services.createService({ context, listener, admitRequest })],
    async start() {
      await listener.open();
      context.logEvent(Events.LISTENING, { address: listener.getAddress() });
    },
    stop: () => listener.close(),
    dumpState: () => ({
      address: listener.getAddress() ?? null,
      authorisation: settings.token === undefined ? 'open' : 'bearer',
    }),
  };
}
