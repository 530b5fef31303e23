/** Runs one order: looks up its service, claims the order if needed, and sends it. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  Clock,
  ConfigurationReader,
  Journal,
  OrderNotRun,
  OrderOutcome,
  OrderRequest,
  PlainService,
} from '@sequoiarill/types';

import type { RunAttempts } from './attempts';
import * as Records from './claimRecords';
import type { ClaimRefused, ClaimRegistry, HeldClaim } from './claims';

export interface OrderRunnerOptions {
  readonly clock: Clock;
  readonly journal: Journal;
  readonly configuration: ConfigurationReader;
  readonly claims: ClaimRegistry;
  readonly runAttempts: RunAttempts;
}

export type RunOrder = (order: OrderRequest) => Promise<OrderOutcome>;

/** Long enough for a short outage to end, and keeps the calls few during a long one. */
const PLATFORM_AWAY_RETRY_SECONDS = 5;
const IN_PROGRESS_RETRY_SECONDS = 2;
const MS_PER_SECOND = 1_000;

export function createNotRun(
  reason: OrderNotRun['reason'],
  message: string,
  retryAfterSeconds: number,
): OrderNotRun {
  return { kind: 'notRun', reason, message, retryAfterSeconds };
}

export function createOrderRunner(options: OrderRunnerOptions): RunOrder {
  const { clock, claims, configuration, journal, runAttempts } = options;

  /**
   * Runs the attempts within the service's time limit. If the caller disconnects, an order that may
   * be sent again is cancelled. Any other order continues, because a request that was sent cannot
   * be withdrawn, and its answer is needed when the caller repeats the order.
   */
  async function runWithDeadline(
    order: OrderRequest,
    service: PlainService,
    canResend: boolean,
  ): Promise<OrderOutcome> {
    const deadline = new AbortController();
    const timerCancellation = new AbortController();
    const handleCallerDisconnected = (): void => deadline.abort();
    if (canResend) order.signal.addEventListener('abort', handleCallerDisconnected, { once: true });
    const timer = clock
      .waitMs(service.timeoutMs, timerCancellation.signal)
      // After a pause of the router, timers fire before an answer that arrived in time is read.
      .then(() => Kernel.runAfterPendingReads(() => deadline.abort()));
    const outcome = await runAttempts(order, service, canResend, deadline.signal);
    order.signal.removeEventListener('abort', handleCallerDisconnected);
    timerCancellation.abort();
    await timer;
    return outcome;
  }

  async function runWithClaim(
    order: OrderRequest,
    service: PlainService,
    claim: HeldClaim,
  ): Promise<OrderOutcome> {
    if (order.signal.aborted || !claim.isStillHeld()) {
      await claim.release();
      return createNotRun('overloaded', 'it waited too long for its claim.', 1);
    }
    const outcome = await runWithDeadline(order, service, false);
    if (outcome.kind === 'done') claim.recordDone(outcome);
    else if (outcome.kind === 'unknown') claim.recordUnknown();
    else await claim.release();
    return outcome;
  }

  async function runClaimed(
    order: OrderRequest,
    service: PlainService,
    idempotencyKey: string,
  ): Promise<OrderOutcome> {
    const { requestId } = order;
    const identity = {
      organisation: order.organisation.name,
      service: service.name,
      idempotencyKey,
      requestHash: Records.hashRequest(order),
      requestId,
    };
    const result = await claims.reserveOrder(identity, service.timeoutMs / MS_PER_SECOND);
    journal.recordDecision(requestId, 'claimed', `claim by Idempotency-Key: ${result.kind}`);
    if (result.kind === 'held') return runWithClaim(order, service, result);
    if (result.kind === 'repeated') return result.done;
    return createRefusedOutcome(result);
  }

  return async function runOrder(order) {
    const service = configuration.getConfiguration().services.get(order.service);
    if (service === undefined) {
      return createNotRun('unknownService', `there is no service "${order.service}".`, 0);
    }
    const isIdempotent = service.idempotentMethods.includes(order.method);
    const { idempotencyKey } = order;
    if (isIdempotent) return runWithDeadline(order, service, true);
    if (idempotencyKey === undefined) return runWithDeadline(order, service, false);
    if (service.checksIdempotencyKey) return runWithDeadline(order, service, true);
    return runClaimed(order, service, idempotencyKey);
  };
}

function createRefusedOutcome(refusal: ClaimRefused): OrderOutcome {
  switch (refusal.kind) {
    case 'keyReused': {
      const message = 'this Idempotency-Key was used for another request; use a new one.';
      return createNotRun('keyReused', message, 0);
    }
    case 'inProgress': {
      const message = 'an order with this Idempotency-Key is in progress.';
      return createNotRun('inProgress', message, IN_PROGRESS_RETRY_SECONDS);
    }
    case 'away': {
      const message = 'orders cannot be claimed right now; nothing was sent.';
      return createNotRun('platformAway', message, PLATFORM_AWAY_RETRY_SECONDS);
    }
    default:
      return {
        kind: 'unknown',
        message: 'it was sent before and its answer is not known; it is not sent again.',
      };
  }
}
