/** Retry quota that this router grants to other routers, and requests from them when its own share is used up. */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { RetryQuotaRequest } from '@sequoiarill/types';

import * as Events from './events';
import type { ForwardRequest } from './forwardRequest';
import type { ForwardingDependencies } from './dependencies';

/** Peers asked for one retry, in sequence: usually the first one has enough quota left. */
const MAX_PEERS_ASKED = 6;
/** Requested in addition to the missing quota, because sums of fractions are inexact. */
const ROUNDING_MARGIN = 0.01;

/** Peers send the name of the service. Only services in the configuration have a retry budget to grant from. */
export function grantRetryQuota(
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

/** Requests quota from peers until the balance reaches `needed` or no peer is left to ask. */
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
  let peersAsked = 0;
  let failure: string | undefined;
  for (const peer of peers.listNearest().slice(0, MAX_PEERS_ASKED)) {
    const missingNow = computeMissing();
    if (missingNow <= 0 || request.closed.aborted) break;
    const outcome = await peers.borrowRetryQuota(peer, {
      service,
      repeats: missingNow + ROUNDING_MARGIN,
    });
    peersAsked += 1;
    if (outcome.kind === 'failed') failure = outcome.reason;
    else budget.recordBorrowed(clock.getNowMs(), outcome.repeats);
  }
  log.logEvent(Events.REPEATS_BORROWED, {
    request: request.id,
    service,
    missing,
    asked: peersAsked,
    failure,
    stillMissing: Math.max(0, computeMissing()),
    tookMs: Math.round(clock.getNowMs() - startedMs),
  });
}
