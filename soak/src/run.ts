/**
 * Runs one soak: starts stand-ins and routers, sends requests, injects the faults of the schedule, and
 * checks the records at the end.
 */
import * as Standins from '@sequoiarill/standins';
import type { LinkStandin } from '@sequoiarill/standins';
import type { LogLine } from '@sequoiarill/testing';

import * as AnsweredRequests from './answeredRequests';
import * as Callers from './callers';
import * as Checks from './checks';
import type { Violation } from './checks';
import * as Configurations from './configuration';
import * as EarlyEnds from './earlyEnds';
import * as EndChecks from './endChecks';
import { ENGINES, EVENT_COUNT, TARGET_COUNT, startEnvironment } from './environment';
import type { Environment, SoakOptions } from './environment';
import * as Floods from './floods';
import * as Operators from './operators';
import * as Randoms from './random';
import * as RequestLogs from './requestLog';
import type { ManagedRouter } from './routers';
import * as Schedules from './schedule';
import type { Action, PartitionFault, Step } from './schedule';
import * as SilentTargets from './silentTargets';
import type { ManagedTarget } from './targets';

export type { SoakOptions } from './environment';

export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly schedule: readonly Step[];
  readonly requests: number;
  readonly answered: number;
  readonly probes: number;
  /** Attempts to go on with a stream, and those of them that brought an event. */
  readonly resumed: number;
  readonly resumedServed: number;
  /** Requests that were open while targets of their service were silent, and no other fault touched them. */
  readonly silent: number;
  /** Those of them that ended whole. */
  readonly silentWhole: number;
  /** Requests that no unplanned fault touched, and answers that a planned stop broke off. */
  readonly undisturbed: number;
  readonly stopped: number;
  /** Requests that met an answer without end, or were open beside one, and no other fault touched them. */
  readonly flooded: number;
  readonly besideFloods: number;
  /** Crashes of engines under the part that crashes them. */
  readonly crashes: number;
  readonly lines: readonly LogLine[];
}

/** Time between the exit of a target and the start of its next incarnation. */
const DOWNTIME_MS = 700;
/** Time between a target's announcement that it leaves and its exit. */
const LEAVE_DURATION_MS = 4_500;
/** Time for which a store that is being restored does not answer. */
const RESTORE_MS = 300;
/** Time after which operators and targets have written again what a restored store lost. */
const REWRITE_MS = 400;
/** Rest that a target asks for. */
const REST_SECONDS = 1.5;
/** Time after the last fault within which every router must serve requests again. */
const RECOVERY_MS = 5_000;
/** Requests for each router on which the recovery check is based. */
const FINAL_REQUESTS = 10;
/** Time within which targets must notice that a caller has disconnected. */
const CANCELLATION_MS = 1_500;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
}

async function applyLinkFault(
  link: LinkStandin,
  fault: PartitionFault,
  forMs: number,
): Promise<void> {
  link[fault]();
  if (fault === 'reset') return;
  await waitMs(forMs);
  link.heal();
  // Connections that were cut stay silent, as after a real cut, so they are reset; new ones work.
  link.reset();
}

/** Records the routers as disturbed for as long as the fault lasts. */
async function runDisturbed(
  { requestLog }: Environment,
  routers: readonly number[],
  applyFault: () => Promise<void>,
  isOfProcess = false,
): Promise<void> {
  const fromMs = performance.now();
  const disturbances = routers.map((router) => ({
    router,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
    isOfProcess,
  }));
  requestLog.disturbances.push(...disturbances);
  await applyFault();
  disturbances.forEach((disturbance) => {
    disturbance.untilMs = performance.now();
  });
}

async function applyRouterFault(
  router: ManagedRouter,
  fault: Schedules.RouterFault,
  forMs: number,
): Promise<void> {
  if (fault === 'pause') await router.pause(forMs);
  else if (fault === 'reload') router.reload();
  else await router.restart(fault === 'kill' ? 'SIGKILL' : 'SIGTERM');
}

async function simulateLeaving(environment: Environment, target: ManagedTarget): Promise<void> {
  const id = target.leave();
  environment.requestLog.leavings.push({ target: id, writtenAtMs: performance.now() });
  await waitMs(LEAVE_DURATION_MS);
  await target.restart(DOWNTIME_MS);
}

/** The store is away for a moment; operators and targets then write again what it lost. */
async function simulateRestore(environment: Environment, ageMs: number): Promise<void> {
  const { store, targets, versions, changes } = environment;
  const copy = store.takeCopy();
  await waitMs(ageMs);
  store.setFault('silent');
  await waitMs(RESTORE_MS);
  store.restoreCopy(copy);
  store.setFault('none');
  await waitMs(REWRITE_MS);
  const version = versions[0]?.version ?? 0;
  store.writeValue(
    Standins.CONFIGURATION_KEY,
    Configurations.formatConfiguration(version, changes),
  );
  targets.forEach((target) => target.writeAgain());
}

async function simulateRest(target: ManagedTarget, forMs: number): Promise<void> {
  const incarnation = target.getCurrent();
  incarnation.setRequestedRest(REST_SECONDS);
  incarnation.setFault('shed');
  await waitMs(forMs);
  incarnation.setFault('none');
  incarnation.setRequestedRest(undefined);
}

async function simulateAnnouncement(target: ManagedTarget): Promise<void> {
  target.getCurrent().setLeaving(true);
  await waitMs(LEAVE_DURATION_MS);
  await target.restart(DOWNTIME_MS);
}

async function applyTargetAction(
  environment: Environment,
  action: Action,
  forMs: number,
): Promise<void> {
  if (!('target' in action)) return;
  const target = environment.targets[action.target];
  if (target === undefined) return;
  if (action.kind === 'restart') await target.restart(DOWNTIME_MS);
  else if (action.kind === 'leave') await simulateLeaving(environment, target);
  else if (action.kind === 'announceLeaving') await simulateAnnouncement(target);
  else if (action.kind === 'rest') await simulateRest(target, forMs);
  else if (action.kind === 'target') {
    const incarnation = target.getCurrent();
    incarnation.setFault(action.fault);
    await waitMs(forMs);
    incarnation.setFault('none');
  }
}

/** No disturbance is recorded: a change must be in force in time although the connections are silent. */
function injectSilence({ routers }: Environment, silenced: readonly number[]): void {
  silenced.forEach((index) => routers[index]?.storeLink.silence());
}

/** Each router is started again when the faults that it has now have ended. */
async function simulateKills(environment: Environment, routers: readonly number[]): Promise<void> {
  const killed = routers.flatMap((index) => environment.routers[index] ?? []);
  await runDisturbed(
    environment,
    routers,
    async () => {
      await Promise.all(killed.map((router) => router.restart('SIGKILL')));
    },
    true,
  );
}

/** No disturbance is recorded: the other routers serve the callers of these. */
async function simulatePartition(
  { routerLinks }: Environment,
  routers: readonly number[],
  fault: PartitionFault,
  forMs: number,
): Promise<void> {
  const links = routers.flatMap((router) => routerLinks[router]?.links ?? []);
  await Promise.all(links.map((link) => applyLinkFault(link, fault, forMs)));
}

async function applyRoutersAction(
  environment: Environment,
  action: Extract<Action, { kind: 'silence' | 'partition' | 'killRouters' }>,
  forMs: number,
): Promise<void> {
  if (action.kind === 'killRouters') await simulateKills(environment, action.routers);
  else if (action.kind === 'silence') injectSilence(environment, action.routers);
  else await simulatePartition(environment, action.routers, action.fault, forMs);
}

async function applyRouterAction(
  environment: Environment,
  action: Extract<Action, { kind: 'router' | 'storeLink' }>,
  forMs: number,
): Promise<void> {
  const router = environment.routers[action.router];
  if (router === undefined) return;
  await runDisturbed(
    environment,
    [action.router],
    () =>
      action.kind === 'router'
        ? applyRouterFault(router, action.fault, forMs)
        : applyLinkFault(router.storeLink, action.fault, forMs),
    action.kind === 'router',
  );
}

async function applyAction(environment: Environment, { action, forMs }: Step): Promise<void> {
  const allRouters = environment.routers.map((_router, index) => index);
  if (Operators.isWritingAction(action)) {
    await Operators.applyWritingAction(environment, action, forMs);
  } else if (action.kind === 'compact') environment.store.compact();
  else if (action.kind === 'flood') await Floods.simulateFlood(environment, action, forMs);
  else if ('routers' in action) await applyRoutersAction(environment, action, forMs);
  else if (action.kind === 'restoreStore') {
    await runDisturbed(environment, allRouters, () => simulateRestore(environment, forMs));
  } else if (action.kind === 'store') {
    await runDisturbed(environment, allRouters, async () => {
      environment.store.setFault(action.fault);
      await waitMs(forMs);
      environment.store.setFault('none');
    });
  } else if ('router' in action) {
    await applyRouterAction(environment, action, forMs);
  } else if (action.kind === 'targetLink') {
    const target = environment.targets[action.target];
    if (target !== undefined) await applyLinkFault(target.link, action.fault, forMs);
  } else await applyTargetAction(environment, action, forMs);
}

/** Names the component that an action affects. Actions on one component run in sequence, others overlap. */
function getComponent(action: Action): string {
  if ('router' in action) return `router ${action.router}`;
  if (action.kind === 'flood') return `flood of ${action.flooding}`;
  if ('target' in action && action.kind !== 'targetLink') return `target ${action.target}`;
  if ('target' in action) return `link ${action.target}`;
  return action.kind === 'restoreStore' ? 'store' : action.kind;
}

async function runSchedule(environment: Environment, schedule: readonly Step[]): Promise<void> {
  const startedMs = performance.now();
  const busy = new Map<string, Promise<void>>();
  for (const step of schedule) {
    await waitMs(startedMs + step.atMs - performance.now());
    const component = getComponent(step.action);
    const earlierActions = busy.get(component) ?? Promise.resolve();
    busy.set(
      component,
      earlierActions.then(() =>
        SilentTargets.recordFaults(environment, step.action, () => applyAction(environment, step)),
      ),
    );
  }
  await Promise.all(busy.values());
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const size = { routers: options.routers, targets: TARGET_COUNT, engines: ENGINES };
  const schedule = Schedules.createSchedule(options.seed, options.seconds * 1_000, size);
  const environment = await startEnvironment(options);
  const { requestLog, routers, targets, versions } = environment;
  const callers = Callers.createCallers({
    routers,
    requestLog,
    random: Randoms.createRandom(options.seed + 1),
    eventCount: EVENT_COUNT,
    listVersions: () => versions,
  });
  const stopping = new AbortController();
  const running = [
    ...Array.from({ length: options.callers }, () => callers.runCaller(stopping.signal)),
    ...routers.map((_router, index) => callers.runProber(index, stopping.signal)),
    callers.runOnceCaller(stopping.signal),
    ...(options.hasCrashingPart ? [callers.runCrashingCaller(stopping.signal)] : []),
  ];
  await runSchedule(environment, schedule);
  await waitMs(RECOVERY_MS);
  const priorCount = requestLog.requests.size;
  while (requestLog.requests.size < priorCount + FINAL_REQUESTS * routers.length) await waitMs(50);
  stopping.abort();
  await Promise.all(running);
  await waitMs(CANCELLATION_MS);
  const atEnd = [...EndChecks.checkEnd(environment, priorCount)];
  const flows = targets.flatMap((target) => target.listFlows());
  await callers.close();
  await Promise.all(routers.map((router) => router.stop()));
  const incarnations = targets.flatMap((target) => target.listIncarnations());
  const organisation = Standins.ORGANISATION;
  const evidence = { requestLog, incarnations, eventCount: EVENT_COUNT, organisation };
  const lines = routers.flatMap((router) => router.listLogLines());
  const traces = EarlyEnds.createTraces(lines);
  const early = EarlyEnds.checkEarlyEnds(evidence, traces);
  const answered = AnsweredRequests.checkAnswered(evidence, traces);
  const floods = Floods.checkFloods(evidence, traces, flows);
  await Promise.all(targets.map((target) => target.stop()));
  await Promise.all(environment.routerLinks.map((one) => one.stop()));
  await environment.store.stop();
  return {
    violations: [
      ...Checks.checkEvidence(evidence),
      ...early.violations,
      ...answered.violations,
      ...floods.violations,
      ...atEnd,
    ],
    ...early.counts,
    ...answered.counts,
    ...floods.counts,
    schedule,
    requests: requestLog.requests.size,
    answered: [...requestLog.results.values()].filter((result) => result.kind === 'answer').length,
    probes: requestLog.probes.length,
    ...RequestLogs.countResumed(requestLog),
    crashes: requestLog.crashesMs.length,
    lines,
  };
}
