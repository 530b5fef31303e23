/**
 * Plug-in `membership`: exchanges router records, target health and configuration between routers.
 */
import type {
  Membership,
  Plugin,
  PluginContext,
  PluginInstance,
  StateDump,
  TargetHealth,
} from '@sequoiarill/types';

import * as Events from './events';
import * as Metrics from './metrics';
import * as PeerServers from './peerServer';
import * as RunningRouters from './runningRouter';
import type { RunningRouter } from './runningRouter';
import * as Settings from './settings';
import * as SharedKeys from './sharedKey';

export const plugin: Plugin<Settings.MembershipSettings> = {
  name: 'membership',
  settingsSchema: Settings.settingsSchema,
  provides: ['membership'],
  needs: ['configuration', 'configurationExchange'],
  events: Events.EVENTS,
  createInstance,
};

export function createInstance(
  context: PluginContext,
  settings: Settings.MembershipSettings,
): PluginInstance {
  const key = SharedKeys.loadKey(settings.sharedKey);
  const listeners = new Set<(health: TargetHealth) => void>();
  let router: RunningRouter | undefined;
  const server = PeerServers.createPeerServer({
    listen: settings.listen,
    key,
    onRefused(reason, from) {
      context.metrics.addCount(Metrics.CALLS_REFUSED);
      context.logEvent(Events.CALL_REFUSED, { reason, from });
    },
  });

  function sendHealth(targets: readonly string[]): void {
    if (listeners.size === 0) return;
    for (const target of targets) {
      const health = membership.getTargetHealth(target);
      if (health !== undefined) listeners.forEach((listener) => listener(health));
    }
  }

  const membership: Membership = {
    listPeers: () => router?.rounds.listPeers() ?? [],
    getTargetHealth: (target) => router?.state.targets.getHealth(target, context.clock.getNowMs()),
    reportTarget(report) {
      const isChange =
        router?.state.targets.recordReport(report, context.clock.getNowMs()) ?? false;
      if (isChange) sendHealth([report.target]);
    },
    subscribeTargets(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };

  return {
    capabilities: { membership },
    async start() {
      const bound = await server.open();
      const address = settings.advertise ?? bound;
      router = await RunningRouters.startRouter({
        context,
        key,
        server,
        address,
        seeds: settings.seeds,
        onTargetsChanged: sendHealth,
      });
      context.logEvent(Events.LISTENING, { listen: bound, advertise: address });
      if (settings.sharedKey === undefined) context.logEvent(Events.NO_SHARED_KEY);
    },
    /**
     * Announces the drain so that other routers stop relying on this one; exchanges continue until
     * stop.
     */
    async drain() {
      router?.state.peers.markLeaving();
      router?.state.updateRoster();
    },
    async stop() {
      await router?.stop();
      await server.close();
    },
    dumpState: (): StateDump => router?.dumpState() ?? { phase: 'starting' },
  };
}
