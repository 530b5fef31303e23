import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FairQueue from '../fairQueue';

function buildItem(organisation: string, change: Partial<FairQueue.QueuedWork> = {}) {
  return { organisation, weight: 1, priority: 0, work: 10, queuedAtMs: 0, ...change };
}

describe('fairQueue', () => {
  it('serves organisations by weight, however much each of them sends', () => {
    // One organisation queues a hundred requests before another queues its own. In order of
    // arrival, the second one would wait for all hundred.
    const queue = FairQueue.createFairQueue<FairQueue.QueuedWork>();
    for (let count = 0; count < 100; count += 1) queue.addItem(buildItem('large'));
    for (let count = 0; count < 100; count += 1) queue.addItem(buildItem('paid', { weight: 3 }));
    const taken = Array.from({ length: 80 }, () => queue.takeNext()?.organisation);
    expect(taken.filter((name) => name === 'paid').length).toEqual(60);
  });

  it('lets a short request overtake a long one of its organisation, for a bounded time', () => {
    const queue = FairQueue.createFairQueue<FairQueue.QueuedWork>();
    queue.addItem(buildItem('a', { work: 8_000, queuedAtMs: 0 }));
    queue.addItem(buildItem('a', { work: 10, queuedAtMs: 100 }));
    queue.addItem(buildItem('a', { work: 10, queuedAtMs: 400 }));
    const order = [queue.takeNext(), queue.takeNext(), queue.takeNext()];
    expect(order.map((item) => item?.queuedAtMs)).toEqual([100, 0, 400]);
  });

  it('takes the more important request of an organisation first', () => {
    const queue = FairQueue.createFairQueue<FairQueue.QueuedWork>();
    queue.addItem(buildItem('a', { priority: 5 }));
    queue.addItem(buildItem('a', { priority: 1 }));
    expect(queue.takeNext()?.priority).toEqual(1);
  });

  it('keeps its totals correct when items are removed', () => {
    const queue = FairQueue.createFairQueue<FairQueue.QueuedWork>();
    const item = buildItem('a');
    queue.addItem(item);
    queue.addItem(buildItem('b'));
    queue.removeItem(item);
    queue.removeItem(item);
    expect(queue.getLength()).toEqual(1);
    expect(queue.getOrganisationWork('a')).toEqual(0);
    expect(queue.takeNext()?.organisation).toEqual('b');
    expect(queue.takeNext()).toEqual(undefined);
    expect(queue.getWaitingOrganisationCount()).toEqual(0);
  });
});
