import { describe, it } from 'node:test';

import * as Decisions from '@sequoiarill/decisions';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as RetryQuotas from '../retryQuota';
import * as Fakes from './fakeDependencies';

const CONNECT_TIMEOUT_MS = 400;

/** Borrows one retry; `isReached` tells which peers answer. Returns the time that it took. */
async function simulateBorrowing(isReached: (peer: number) => boolean) {
  const clock = Kernel.createFakeClock();
  const asked: string[] = [];
  /** Balances when the quota was acquired; it expires soon after. */
  const balances: number[] = [];
  const budget = Decisions.createFleetRetryBudget({
    ratio: 0,
    slack: 0,
    windowMs: 10_000,
    countRouters: () => 60,
    startedMs: 0,
  });
  const borrower = RetryQuotas.createQuotaBorrower({
    clock,
    log: { logEvent: () => undefined, close: () => undefined },
    peers: {
      listNearest: () => Array.from({ length: 9 }, (_one, index) => String(index)),
      async borrowRetryQuota(peer, { repeats }) {
        asked.push(peer);
        await clock.waitMs(isReached(Number(peer)) ? 2 : CONNECT_TIMEOUT_MS);
        if (!isReached(Number(peer))) return { kind: 'failed', reason: 'no connection' };
        return { kind: 'granted', repeats };
      },
    },
  });
  const request = Fakes.createRequest(Fakes.createRoute());

  async function acquire(): Promise<number> {
    const startedMs = clock.getNowMs();
    let endedMs: number | undefined;
    borrower.acquire(request, budget, 1).then(
      () => {
        endedMs = clock.getNowMs();
        balances.push(budget.getBalance(endedMs));
      },
      () => undefined,
    );
    await clock.runFor(2_000);
    return (endedMs ?? Number.POSITIVE_INFINITY) - startedMs;
  }

  return { acquire, asked, balances, budget, clock };
}

describe('quota borrowed from other routers', () => {
  it('is found in a fraction of a second where most peers are unreachable', async () => {
    // A zone is cut off. Each unreachable peer held up the stream for the time of its connection attempt.
    const { acquire, balances } = await simulateBorrowing((peer) => peer === 5);
    expect(await acquire()).toBeLessThan(150);
    expect(balances.length).toEqual(1);
    expect(Math.min(...balances)).toBeGreaterThanOrEqual(1);
  });

  it('expires before its lender may use it again', async () => {
    // Guards against quota that is used when the router that lent it no longer counts it as spent.
    const { acquire, budget, clock } = await simulateBorrowing(() => true);
    await acquire();
    expect(budget.getBalance(clock.getNowMs())).toEqual(0);
    expect(budget.takeRetry(clock.getNowMs())).toEqual(false);
  });

  it('is given up in a fraction of a second where no peer is reached', async () => {
    // The stream ends with a truthful outcome instead of a pause of seconds before it.
    const { acquire } = await simulateBorrowing(() => false);
    expect(await acquire()).toBeLessThan(300);
  });

  it('is asked of peers that answered before it is asked of those that did not', async () => {
    // During a cut, each stream waits for the same unreachable peers again.
    const { acquire, asked, budget, clock } = await simulateBorrowing((peer) => peer >= 4);
    await acquire();
    budget.takeRetry(clock.getNowMs());
    asked.length = 0;
    await acquire();
    expect(asked).toEqual(['4']);
  });
});
