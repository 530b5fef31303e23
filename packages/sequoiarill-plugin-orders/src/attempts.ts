/** Sends an order to targets of its service, with retries, and derives its outcome. */
import type {
  Clock,
  OrderOutcome,
  OrderRequest,
  PlainService,
  ServiceTarget,
} from '@sequoiarill/types';

import type { AttemptAnswered, AttemptResult, SendOrder } from './orderSender';
import type { RetryBudget } from './retryBudget';
import type { TargetChooser } from './targetChoice';

/** Three failing targets in a row mean that the service is unavailable, not a single target. */
const MAX_ATTEMPTS = 3;
/** Matches the default time for which a target is skipped after a failed connection. */
const RETRY_AFTER_SECONDS = 2;

export interface AttemptRunnerOptions {
  readonly clock: Clock;
  readonly chooser: TargetChooser;
  readonly budget: RetryBudget;
  readonly sendOrder: SendOrder;
  readonly listTargets: (service: string) => readonly ServiceTarget[];
  /** Called once per attempt, in the order of the attempts. */
  readonly recordAttempt: (
    order: OrderRequest,
    target: ServiceTarget,
    result: AttemptResult,
  ) => void;
}

export type RunAttempts = (
  order: OrderRequest,
  service: PlainService,
  /** Whether a retry is allowed once bytes of the order may have reached a target. */
  canResend: boolean,
  signal: AbortSignal,
) => Promise<OrderOutcome>;

/**
 * After `notSent`, every order may be sent to another target; after `unanswered`, only an order
 * that may run twice.
 */
export function createAttemptRunner(options: AttemptRunnerOptions): RunAttempts {
  const { clock, chooser, budget } = options;

  async function sendToTarget(
    target: ServiceTarget,
    order: OrderRequest,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    chooser.addInFlight(target.name);
    const result = await options.sendOrder(target.address, order, signal);
    chooser.removeInFlight(target.name);
    if (result.kind === 'answered') chooser.recordAnswer(target.name);
    if (result.kind === 'notSent' && result.isTargetFault) {
      chooser.markConnectionFailed(target.name, clock.getNowMs());
    }
    options.recordAttempt(order, target, result);
    return result;
  }

  return async function runAttempts(order, service, canResend, signal) {
    const triedTargets = new Set<string>();
    const hasFullTarget = chooser.hasFullTarget(options.listTargets(service.name));
    let mayHaveRun = false;
    let message = `no target of "${service.name}" takes orders right now.`;
    budget.addFirstAttempt();
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt += 1) {
      const target = chooser.chooseTarget(
        options.listTargets(service.name),
        triedTargets,
        clock.getNowMs(),
      );
      if (target === undefined || (attempt > 0 && !budget.takeRetry())) break;
      triedTargets.add(target.name);
      const result = await sendToTarget(target, order, signal);
      if (result.kind === 'answered') return result.answer;
      message = `${target.name}: ${result.message}.`;
      mayHaveRun ||= result.kind === 'unanswered';
      if (isFinalResult(result, canResend)) break;
    }
    if (mayHaveRun) return { kind: 'unknown', message };
    const reason = hasFullTarget ? 'overloaded' : 'noTarget';
    return { kind: 'notRun', reason, message, retryAfterSeconds: RETRY_AFTER_SECONDS };
  };
}

/** Whether trying another target is not allowed or would not help. */
function isFinalResult(
  result: Exclude<AttemptResult, AttemptAnswered>,
  canResend: boolean,
): boolean {
  return result.kind === 'notSent' ? !result.isTargetFault : !canResend;
}
