/** Actions of operators, who write configurations. */
import type { ConfigurationChange } from './configuration';
import { writeNextVersion } from './environment';
import type { Environment } from './environment';
import type { Action } from './schedule';
import * as SilentTargets from './silentTargets';

type WritingAction = Extract<Action, { kind: 'configure' | 'change' | 'silentTargets' }>;

/** Whether the action begins with a new configuration. */
export function isWritingAction(action: Action): action is WritingAction {
  return ['configure', 'change', 'silentTargets'].includes(action.kind);
}

/** Writes a configuration that changes something under load, and later one without the change. */
async function simulateChange(
  environment: Environment,
  change: ConfigurationChange,
  forMs: number,
): Promise<void> {
  const { changes, requestLog } = environment;
  const record = { change, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
  requestLog.changes.push(record);
  changes.add(change);
  writeNextVersion(environment);
  await new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });
  changes.delete(change);
  writeNextVersion(environment);
  record.untilMs = performance.now();
}

export async function applyWritingAction(
  environment: Environment,
  action: WritingAction,
  forMs: number,
): Promise<void> {
  if (action.kind === 'configure') writeNextVersion(environment);
  else if (action.kind === 'change') await simulateChange(environment, action.change, forMs);
  else await SilentTargets.simulateSilentTargets(environment, action, forMs);
}
