/** Retry quota that this router grants to other routers, and requests from them when its own share is used up. */
import type { FleetRetryBudget } from '@sequoiarill/decisions';
import type { RetryQuotaRequest } from '@sequoiarill/types';

import * as RepeatEvents from './repeatEvents';
import type { ForwardRequest } from './forwardRequest';
import type { ForwardingDependencies } from './dependencies';

/** Peers asked for one retry: usually the first one has enough quota left. */
const MAX_PEERS_ASKED = 6;
/** The next peer is asked after this time without a response; a running peer responds within a few milliseconds. */
const NEXT_PEER_MS = 20;
/** A caller's stream is stalled meanwhile. */
const TIMEOUT_MS = 160;
/** A peer that did not respond is asked after all others for this time. */
const UNREACHABLE_MS = 2_000;
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

export interface QuotaBorrower {
  /** Requests quota from peers until the balance reaches `needed` or no peer is left to ask. */
  readonly acquire: (
    request: ForwardRequest,
    budget: FleetRetryBudget,
    needed: number,
  ) => Promise<void>;
}

/**
 * Load pattern: a zone is cut off, and all streams of its routers beyond the cut need a retry at once.
 * Peers that are asked one after the other, unreachable ones among them, stall each stream for seconds.
 */
export function createQuotaBorrower({
  clock,
  log,
  peers,
}: Pick<ForwardingDependencies, 'clock' | 'log' | 'peers'>): QuotaBorrower {
  const unreachableSinceMs = new Map<string, number>();

  function isUnreachable(peer: string): boolean {
    const sinceMs = unreachableSinceMs.get(peer);
    if (sinceMs === undefined) return false;
    if (clock.getNowMs() - sinceMs < UNREACHABLE_MS) return true;
    unreachableSinceMs.delete(peer);
    return false;
  }

  function listPeers(): readonly string[] {
    const nearest = peers.listNearest();
    return [...nearest.filter((peer) => !isUnreachable(peer)), ...nearest.filter(isUnreachable)];
  }

  return {
    async acquire(request, budget, needed) {
      const startedMs = clock.getNowMs();
      const { service } = request;
      const computeMissing = (): number => needed - budget.getBalance(clock.getNowMs());
      const missing = computeMissing();
      const deadlineMs = startedMs + TIMEOUT_MS;
      const pending = new Set<Promise<void>>();
      let peersAsked = 0;
      let failure: string | undefined;

      async function borrowFrom(peer: string): Promise<void> {
        const repeats = computeMissing() + ROUNDING_MARGIN;
        const askedMs = clock.getNowMs();
        const outcome = await peers.borrowRetryQuota(peer, { service, repeats });
        if (outcome.kind === 'granted') {
          unreachableSinceMs.delete(peer);
          budget.recordBorrowed(askedMs, outcome.repeats);
          return;
        }
        failure = outcome.reason;
        unreachableSinceMs.set(peer, clock.getNowMs());
      }

      /** Waits for the next response of any peer. */
      async function waitForResponse(ms: number): Promise<void> {
        const timeout = new AbortController();
        await Promise.race([...pending, clock.waitMs(ms, timeout.signal)]);
        timeout.abort();
      }

      for (const peer of listPeers().slice(0, MAX_PEERS_ASKED)) {
        if (computeMissing() <= 0 || request.closed.aborted) break;
        const reply = borrowFrom(peer);
        pending.add(reply);
        reply.then(
          () => pending.delete(reply),
          () => pending.delete(reply),
        );
        peersAsked += 1;
        await waitForResponse(NEXT_PEER_MS);
      }
      while (computeMissing() > 0 && pending.size > 0 && clock.getNowMs() < deadlineMs) {
        await waitForResponse(deadlineMs - clock.getNowMs());
      }
      log.logEvent(RepeatEvents.REPEATS_BORROWED, {
        request: request.id,
        service,
        missing,
        asked: peersAsked,
        failure,
        stillMissing: Math.max(0, computeMissing()),
        budget: budget.describe(clock.getNowMs()),
        tookMs: Math.round(clock.getNowMs() - startedMs),
      });
    },
  };
}
