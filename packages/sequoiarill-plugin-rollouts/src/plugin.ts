/** Plug-in `rollouts`: which versions of a service requests may go to. */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep, RolloutSplit } from '@sequoiarill/decisions';
import type {
  ForwardingTarget,
  Plugin,
  PluginContext,
  PluginInstance,
  Rollouts,
} from '@sequoiarill/types';

import * as Events from './events';
import * as Judges from './rolloutEvaluator';
import * as RolloutRunners from './rolloutRunner';
import * as RolloutStates from './localRolloutState';
import * as RolloutViews from './rolloutViews';
import type { RolloutView } from './rolloutViews';
import { settingsSchema } from './settings';
import type { RolloutSettings } from './settings';

/** Pause between two reports of a router, milliseconds: longer where one judge hears of many routers. */
const MIN_INTERVAL_MS = 300;
const MAX_INTERVAL_MS = 2_000;
const INTERVAL_PER_ROUTER_MS = 5;

type Context = Pick<PluginContext, 'clock' | 'logEvent' | 'getCapability'>;

/** Versions are not told apart where no roll-out can be ordered. */
const ALL_VERSIONS: Rollouts = {
  selectTargets: (targets) => targets,
  isLeaving: () => false,
  recordSend: () => () => undefined,
  setInFlightReader: () => undefined,
};

export function createRollouts(
  context: Context,
  { canaryShare, canarySlack }: RolloutSettings & { readonly canaryShare: number },
  decideStep: DecideRolloutStep = Decisions.decideRolloutStep,
) {
  const { clock, logEvent } = context;
  const wire = context.getCapability('wire');
  const directory = context.getCapability('directory');
  const peers = context.getCapability('peers');
  const recordPrefix = `${wire.ownPrefix}rollouts/`;
  const memories = RolloutStates.createRolloutMemories(clock.getNowMs);
  const views = RolloutViews.createRolloutViews({
    directory,
    wire,
    recordPrefix,
    getNowMs: clock.getNowMs,
    logEvent,
  });
  const seenPhases = new Map<string, string>();
  let getInFlight: (target: ForwardingTarget) => number = () => 0;

  function getIntervalMs(): number {
    const spread = directory.countRouters() * INTERVAL_PER_ROUTER_MS;
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, spread));
  }

  /**
   * What the store says, unless the version was found bad meanwhile. A router that the store does not
   * reach cannot be told of that, so it risks nothing.
   */
  function getSplit(view: RolloutView): RolloutSplit {
    const memory = memories.get(view);
    const { split } = view;
    if (memory?.isHalted === true && split.phase !== 'completed') {
      return { ...split, phase: 'rolledBack' };
    }
    const share = directory.isUpToDate() ? split.share : 0;
    return { ...split, share, avoided: memory?.avoided ?? split.avoided };
  }

  function isLeaving(target: ForwardingTarget): boolean {
    const view = views.get(target.service);
    return view !== undefined && Decisions.isVersionLeaving(target.version, getSplit(view));
  }

  function countLeaving({ service }: RolloutView): number {
    return directory
      .listTargets(service)
      .filter(isLeaving)
      .reduce((sum, target) => sum + getInFlight(target), 0);
  }

  const rollouts: Rollouts = {
    selectTargets(targets, draw) {
      const view = views.get(targets[0]?.service ?? '');
      return Decisions.selectVersion(
        targets,
        view === undefined ? undefined : getSplit(view),
        draw,
      );
    },
    isLeaving,
    recordSend(send) {
      const view = views.get(send.target.service);
      const isRunning = view !== undefined && !RolloutViews.isEnded(view.split.phase);
      const memory = isRunning ? memories.get(view) : undefined;
      const isFresh = send.target.version === view?.split.toVersion;
      return memory?.tallies.recordSend(send, isFresh) ?? (() => undefined);
    },
    setInFlightReader(reader) {
      getInFlight = reader;
    },
  };
  const judge = Judges.createJudge({
    store: context.getCapability('keyValue'),
    directory,
    wire,
    recordPrefix,
    clock,
    logEvent,
    limits: { canaryShare, canarySlack },
    decideStep,
    countRouters: directory.countRouters,
    getIntervalMs,
  });
  const runner = RolloutRunners.createRolloutRunner({
    views,
    judge,
    peers,
    directory,
    recordPrefix,
    clock,
    logEvent,
    getMemory: memories.get,
    countLeaving,
    getIntervalMs,
  });

  function applyDirectory(): void {
    views.update();
    for (const view of views.list()) {
      const { service, split, record, order } = view;
      const { phase, share, fromVersion, toVersion } = split;
      if (record !== undefined) {
        const memory = memories.get(view);
        const isOfOrder = record.orderRevision === order?.revision;
        const sinceMs = clock.getNowMs() - record.seenAtMs;
        if (memory !== undefined && isOfOrder) {
          RolloutStates.recordElapsed(memory, record.elapsedMs + sinceMs, clock.getNowMs());
        }
      }
      const seen = JSON.stringify([order?.revision, phase, share]);
      if (seenPhases.get(service) !== seen) {
        seenPhases.set(service, seen);
        logEvent(Events.PHASE_SEEN, {
          service,
          order: order?.revision,
          phase,
          share,
          fromVersion,
          toVersion,
        });
      }
    }
  }

  return { rollouts, runner, views, applyDirectory };
}

function createInstance(context: PluginContext, settings: RolloutSettings): PluginInstance {
  const { canaryShare } = settings;
  if (canaryShare === undefined) {
    return { capabilities: { rollouts: ALL_VERSIONS }, dumpState: () => ({ isOn: false }) };
  }
  const { rollouts, runner, views, applyDirectory } = createRollouts(context, {
    ...settings,
    canaryShare,
  });
  const stopping = new AbortController();
  let running: Promise<void> | undefined;
  let unsubscribe = (): void => undefined;
  return {
    capabilities: { rollouts },
    async start() {
      context.getCapability('peers').setReportHandler(runner.handleReport);
      unsubscribe = context.getCapability('directory').subscribe(applyDirectory);
      applyDirectory();
      running = runner.run(stopping.signal);
    },
    async stop() {
      unsubscribe();
      stopping.abort();
      await running;
    },
    dumpState: () => ({
      isOn: true,
      services: views.list().map(({ service, order, split }) => ({
        service,
        order: order?.revision,
        phase: split.phase,
        share: split.share,
        fromVersion: split.fromVersion,
        toVersion: split.toVersion,
      })),
    }),
  };
}

export const plugin: Plugin<RolloutSettings> = {
  name: 'rollouts',
  settingsSchema,
  provides: ['rollouts'],
  needs: ['wire', 'directory', 'peers', 'keyValue'],
  events: Events.EVENTS,
  createInstance,
};
