/** Sends an order to its service: how often, where, and what the failures add up to. */
import type {
  Clock,
  OrderOutcome,
  OrderRequest,
  PlainService,
  ServiceTarget,
} from '@sequoiarill/types';

import type { RetryBudget } from './retryBudget';
import type { SendingAnswered, SendingResult, SendOrder } from './sending';
import type { TargetChooser } from './targetChoice';

/** Three targets that fail in a row mean that the service is away, not a target. */
const MAX_SENDINGS = 3;
/** As long as targets are passed over. */
const RETRY_AFTER_SECONDS = 2;

export interface AttemptOptions {
  readonly clock: Clock;
  readonly chooser: TargetChooser;
  readonly budget: RetryBudget;
  readonly sendOrder: SendOrder;
  readonly listTargets: (service: string) => readonly ServiceTarget[];
  /** Told of each sending, in order. */
  readonly recordSending: (
    order: OrderRequest,
    target: ServiceTarget,
    result: SendingResult,
  ) => void;
}

export type RunAttempts = (
  order: OrderRequest,
  service: PlainService,
  /** Whether it may be sent again after bytes may have reached a target. */
  canResend: boolean,
  signal: AbortSignal,
) => Promise<OrderOutcome>;

/** A `notSent` lets any order go on elsewhere; an `unanswered` one only what may run twice. */
export function createAttempts(options: AttemptOptions): RunAttempts {
  const { clock, chooser, budget } = options;

  async function sendTo(
    target: ServiceTarget,
    order: OrderRequest,
    signal: AbortSignal,
  ): Promise<SendingResult> {
    chooser.addInFlight(target.name);
    const result = await options.sendOrder(target.address, order, signal);
    chooser.removeInFlight(target.name);
    if (result.kind === 'answered') chooser.recordAnswer(target.name);
    if (result.kind === 'notSent' && result.isTargetFault) {
      chooser.markPassedOver(target.name, clock.getNowMs());
    }
    options.recordSending(order, target, result);
    return result;
  }

  return async function runAttempts(order, service, canResend, signal) {
    const tried = new Set<string>();
    const isFull = chooser.hasFull(options.listTargets(service.name));
    let hasLeft = false;
    let message = `no target of "${service.name}" takes orders right now.`;
    budget.addFirst();
    for (let sending = 0; sending < MAX_SENDINGS && !signal.aborted; sending += 1) {
      const target = chooser.chooseTarget(
        options.listTargets(service.name),
        tried,
        clock.getNowMs(),
      );
      if (target === undefined || (sending > 0 && !budget.takeRetry())) break;
      tried.add(target.name);
      const result = await sendTo(target, order, signal);
      if (result.kind === 'answered') return result.answer;
      message = `${target.name}: ${result.message}.`;
      hasLeft ||= result.kind === 'unanswered';
      if (isFinal(result, canResend)) break;
    }
    if (hasLeft) return { kind: 'unknown', message };
    const reason = isFull ? 'overloaded' : 'noTarget';
    return { kind: 'notRun', reason, message, retryAfterSeconds: RETRY_AFTER_SECONDS };
  };
}

/** Whether another target must not or need not be tried. */
function isFinal(result: Exclude<SendingResult, SendingAnswered>, canResend: boolean): boolean {
  return result.kind === 'notSent' ? !result.isTargetFault : !canResend;
}
