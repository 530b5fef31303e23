/** Repeats that this router lends to others, and borrows of them when its own part is spent. */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { RetryQuotaRequest } from '@sequoiarill/types';

import * as Events from './events';
import type { ForwardRequest } from './forwardRequest';
import type { ForwardingDependencies } from './dependencies';

/** Peers asked for one repeat, one after the other: the first has enough left, mostly. */
const MAX_LENDERS = 6;
/** Asked besides what is missing: sums of parts are not exact. */
const ROUNDING = 0.01;

/** Peers name services; only those of the configuration have repeats. */
export function lendRepeats(
  {
    clock,
    directory,
    getBudget,
  }: Pick<ForwardingDependencies, 'clock' | 'directory' | 'getBudget'>,
  { service, repeats }: RetryQuotaRequest,
): number {
  const isKnown = directory.getConfiguration()?.services.has(service) === true;
  return isKnown ? getBudget(service).grantQuota(clock.getNowMs(), repeats) : 0;
}

/** Until `needed` are at hand here, or nobody is left to ask. */
export async function acquireRetryQuota(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  budget: FleetRetryBudget,
  needed: number,
): Promise<void> {
  const { clock, log, peers } = dependencies;
  const startedMs = clock.getNowMs();
  const { service } = request;
  const computeMissing = (): number => needed - budget.getBalance(clock.getNowMs());
  const missing = computeMissing();
  let asked = 0;
  let failure: string | undefined;
  for (const peer of peers.listNearest().slice(0, MAX_LENDERS)) {
    const left = computeMissing();
    if (left <= 0 || request.closed.aborted) break;
    const outcome = await peers.borrowRetryQuota(peer, { service, repeats: left + ROUNDING });
    asked += 1;
    if (outcome.kind === 'failed') failure = outcome.reason;
    else budget.recordBorrowed(clock.getNowMs(), outcome.repeats);
  }
  log.logEvent(Events.REPEATS_BORROWED, {
    request: request.id,
    service,
    missing,
    asked,
    failure,
    stillMissing: Math.max(0, computeMissing()),
    tookMs: Math.round(clock.getNowMs() - startedMs),
  });
}
