/** Plug-in `rollouts`: decides which versions of a service get requests. */
import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import type { DecideRolloutStep, RolloutSplit } from '@sequoiarill/decisions';
import type {
  ForwardingTarget,
  Plugin,
  PluginContext,
  PluginInstance,
  Rollouts,
} from '@sequoiarill/types';

import * as Events from './events';
import * as LocalRolloutStates from './localRolloutState';
import * as RolloutEvaluators from './rolloutEvaluator';
import * as RolloutRunners from './rolloutRunner';
import * as RolloutViews from './rolloutViews';
import type { RolloutView } from './rolloutViews';
import { settingsSchema } from './settings';
import type { RolloutSettings } from './settings';

/** Interval between two reports of a router; grows with the routers that report to one evaluator. */
const MIN_REPORT_INTERVAL_MS = 300;
const MAX_REPORT_INTERVAL_MS = 2_000;
const REPORT_INTERVAL_PER_ROUTER_MS = 5;

type RolloutsContext = Pick<PluginContext, 'clock' | 'logEvent' | 'getCapability'>;

/** Without roll-outs, all versions of a service get requests. */
const DISABLED_ROLLOUTS: Rollouts = {
  selectTargets: (targets) => targets,
  isLeaving: () => false,
  recordAttempt: () => () => undefined,
  setInFlightCounter: () => undefined,
};

export function createRollouts(
  context: RolloutsContext,
  { canaryShare, canarySlack }: RolloutSettings & { readonly canaryShare: number },
  decideStep: DecideRolloutStep = Decisions.decideRolloutStep,
) {
  const { clock, logEvent } = context;
  const wire = context.getCapability('wire');
  const directory = context.getCapability('directory');
  const peers = context.getCapability('peers');
  const recordPrefix = `${wire.ownPrefix}rollouts/`;
  const localStates = LocalRolloutStates.createLocalRolloutStates(clock.getNowMs);
  const views = RolloutViews.createRolloutViews({
    directory,
    wire,
    recordPrefix,
    getNowMs: clock.getNowMs,
    logEvent,
  });
  const loggedStates = new Map<string, string>();
  let getInFlight: (target: ForwardingTarget) => number = () => 0;

  function getReportIntervalMs(): number {
    const intervalMs = directory.countRouters() * REPORT_INTERVAL_PER_ROUTER_MS;
    return Math.min(MAX_REPORT_INTERVAL_MS, Math.max(MIN_REPORT_INTERVAL_MS, intervalMs));
  }

  /**
   * Returns the split in the store, unless the version has been found bad since. A router without access to
   * the store may not learn of that, so it sets the canary share to zero.
   */
  function getSplit(view: RolloutView): RolloutSplit {
    const localState = localStates.get(view);
    const { split } = view;
    if (localState?.isHalted === true && split.phase !== 'completed') {
      return { ...split, phase: 'rolledBack' };
    }
    const share = directory.isUpToDate() ? split.share : 0;
    return { ...split, share, avoided: localState?.avoided ?? split.avoided };
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
    recordAttempt(attempt) {
      const view = views.get(attempt.target.service);
      const isRunning = view !== undefined && !RolloutViews.isFinalPhase(view.split.phase);
      const localState = isRunning ? localStates.get(view) : undefined;
      const isNewVersion = attempt.target.version === view?.split.toVersion;
      return localState?.tallies.recordSend(attempt, isNewVersion) ?? (() => undefined);
    },
    setInFlightCounter(reader) {
      getInFlight = reader;
    },
  };
  const evaluator = RolloutEvaluators.createRolloutEvaluator({
    store: context.getCapability('keyValue'),
    directory,
    wire,
    recordPrefix,
    clock,
    logEvent,
    limits: { canaryShare, canarySlack },
    decideStep,
    countRouters: directory.countRouters,
    getReportIntervalMs,
  });
  const runner = RolloutRunners.createRolloutRunner({
    views,
    evaluator,
    peers,
    directory,
    recordPrefix,
    clock,
    logEvent,
    getLocalState: localStates.get,
    countLeaving,
    getReportIntervalMs,
  });

  function applyDirectory(): void {
    views.update();
    for (const view of views.list()) {
      const { service, split, record, order } = view;
      const { phase, share, fromVersion, toVersion } = split;
      if (record !== undefined) {
        const localState = localStates.get(view);
        const isOfOrder =
          order !== undefined &&
          Kernel.Revisions.isSameChange(record.orderRevision, order.revision);
        const sinceMs = clock.getNowMs() - record.readAtMs;
        if (localState !== undefined && isOfOrder) {
          LocalRolloutStates.recordElapsed(
            localState,
            record.elapsedMs + sinceMs,
            clock.getNowMs(),
          );
        }
      }
      const logged = JSON.stringify([order?.revision, phase, share]);
      if (loggedStates.get(service) !== logged) {
        loggedStates.set(service, logged);
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
    return { capabilities: { rollouts: DISABLED_ROLLOUTS }, dumpState: () => ({ isOn: false }) };
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
