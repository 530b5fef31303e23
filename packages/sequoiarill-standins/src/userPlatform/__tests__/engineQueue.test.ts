import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as EngineQueues from '../engineQueue';
import type { EngineRequest, EngineSize } from '../engineQueue';

const SIZE: EngineSize = {
  slots: 2,
  maxQueued: 3,
  kvTokens: 1_000,
  tokensPerEvent: 10,
  preempts: false,
};

function createRequest(requestId: string, rank: number, promptTokens = 100): EngineRequest {
  return { requestId, rank, promptTokens, priorEvents: 0 };
}

function listIds(runs: readonly { readonly request: EngineRequest }[]): readonly string[] {
  return runs.map(({ request }) => request.requestId);
}

describe('the queue of an engine stand-in', () => {
  it('starts the most urgent first, and equal ones by arrival', () => {
    // Failure: a stand-in that ignores ranks would let every priority scenario pass or fail by chance.
    const queue = EngineQueues.createEngineQueue({ ...SIZE, slots: 1, maxQueued: 9 });
    const requests = [
      createRequest('late', 5),
      createRequest('later', 5),
      createRequest('least', 8),
      createRequest('urgent', 0),
    ];
    requests.forEach((request) => queue.addRequest(request));
    const started: string[] = [];
    while (started.length < requests.length) {
      const [run] = queue.startNext().started;
      started.push(run?.request.requestId ?? '');
      if (run !== undefined) queue.removeRequest(run.request);
    }
    expect(started).toEqual(['urgent', 'late', 'later', 'least']);
  });

  it('rejects what exceeds its queue', () => {
    // Failure: an unbounded queue hides that routers send more than an engine can take.
    const queue = EngineQueues.createEngineQueue(SIZE);
    const added = ['a', 'b', 'c', 'd'].map((id) => queue.addRequest(createRequest(id, 5)));
    expect(added.map((one) => one !== undefined)).toEqual([true, true, true, false]);
  });

  it('lets the first one wait for tokens, and overtakes it with none that needs fewer', () => {
    // Failure: large prompts starve behind small ones although their rank is more urgent.
    const queue = EngineQueues.createEngineQueue(SIZE);
    queue.addRequest(createRequest('running', 5, 800));
    expect(listIds(queue.startNext().started)).toEqual(['running']);
    queue.addRequest(createRequest('large', 1, 300));
    queue.addRequest(createRequest('small', 5, 100));
    expect(queue.startNext().started).toEqual([]);
    queue.listActive().forEach(({ request }) => queue.removeRequest(request));
    expect(listIds(queue.startNext().started)).toEqual(['large', 'small']);
  });

  it('preempts the newest of the least urgent runs, and nothing where that is not enough', () => {
    // Failure: a preemption of the wrong run would charge an urgent stream with reading its prompt again.
    const queue = EngineQueues.createEngineQueue({ ...SIZE, slots: 4, preempts: true });
    queue.addRequest(createRequest('urgent', 1, 400));
    queue.addRequest(createRequest('older', 5, 250));
    queue.addRequest(createRequest('newer', 5, 250));
    expect(queue.startNext().started.length).toEqual(3);
    queue.addRequest(createRequest('huge', 0, 1_200));
    expect(queue.startNext().preempted).toEqual([]);
    queue.removeRequest(queue.listQueued()[0]?.request as EngineRequest);
    queue.addRequest(createRequest('next', 3, 300));
    const { started, preempted } = queue.startNext();
    expect(listIds(started)).toEqual(['next']);
    expect(listIds(preempted)).toEqual(['newer']);
    expect(listIds(queue.listQueued())).toEqual(['newer']);
  });

  it('preempts the least urgent run for the growth of others', () => {
    // Failure: runs grow beyond the cache, so that a router's mistake about their growth stays unseen.
    const queue = EngineQueues.createEngineQueue({ ...SIZE, preempts: true });
    queue.addRequest(createRequest('urgent', 1, 490));
    queue.addRequest(createRequest('least', 8, 505));
    const [urgent] = queue.startNext().started;
    expect(listIds(urgent === undefined ? [] : queue.addEvent(urgent))).toEqual(['least']);
    expect(queue.countUsedTokens()).toEqual(500);
  });
});
