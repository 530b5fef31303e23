/** Lets targets of a service fall silent together, and records which components each fault touches. */
import { writeNextVersion } from './environment';
import type { Environment } from './environment';
import type { Action } from './schedule';

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export async function simulateSilentTargets(
  environment: Environment,
  { targets, leadMs }: Extract<Action, { kind: 'silentTargets' }>,
  forMs: number,
): Promise<void> {
  const silent = targets.flatMap((index) => environment.targets[index] ?? []);
  const service = silent[0]?.service;
  if (service === undefined) return;
  writeNextVersion(environment);
  await waitMs(leadMs);
  const fromMs = performance.now();
  const incarnations = silent.map((target) => target.getCurrent());
  incarnations.forEach((incarnation) => incarnation.setSilent(true));
  await waitMs(forMs);
  incarnations.forEach((incarnation) => incarnation.setSilent(false));
  environment.requestLog.silences.push({ service, fromMs, untilMs: performance.now() });
}

/** The store's faults touch no request that is under way. */
function listComponents({ routerLinks }: Environment, action: Action): readonly string[] {
  if ('target' in action) return [`target ${action.target}`];
  if (action.kind === 'storeLink') return [];
  if ('router' in action) return [`router ${action.router}`];
  if (action.kind === 'killRouters') return action.routers.map((router) => `router ${router}`);
  if (action.kind !== 'partition') return [];
  return action.routers.flatMap((router) => [
    `router ${router}`,
    ...(routerLinks[router]?.addresses ?? []),
  ]);
}

/** A target that fell silent in a stream stays so until it is started again, as another incarnation. */
function findSilentForGood({ targets }: Environment, action: Action): string | undefined {
  const isForGood = action.kind === 'target' && action.fault === 'fallSilentInStream';
  return isForGood ? targets[action.target]?.getCurrent().id : undefined;
}

function isPlanned(action: Action): boolean {
  return action.kind === 'router' && (action.fault === 'terminate' || action.fault === 'reload');
}

/** Records the components that an action touches for as long as it lasts. */
export async function recordFaults(
  environment: Environment,
  action: Action,
  applyFault: () => Promise<void>,
): Promise<void> {
  const { faults } = environment.requestLog;
  const fromMs = performance.now();
  const silentForGood = findSilentForGood(environment, action);
  if (silentForGood !== undefined) {
    faults.push({ component: silentForGood, fromMs, untilMs: Number.POSITIVE_INFINITY });
  }
  const touched = listComponents(environment, action).map((component) => ({
    component,
    fromMs,
    untilMs: Number.POSITIVE_INFINITY,
    isPlanned: isPlanned(action),
  }));
  faults.push(...touched);
  await applyFault();
  touched.forEach((fault) => {
    fault.untilMs = performance.now();
  });
}
