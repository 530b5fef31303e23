import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FullAnswers from '../../answers/fullAnswer';
import type { ForwardRequest } from '../../forwardRequest';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import { RELAY_HEADERS } from '../relayHeaders';

const ROUTER = { address: 'r1:1', relayAddress: 'r1:2', zone: 'a' };
const ANSWERED: Script = [
  [20, Fakes.createHead(200, { [RELAY_HEADERS.version]: '1' })],
  [20, { kind: 'end' }],
];
const SILENCE: Script = [];
const ROUTE = Fakes.createRoute({
  retryPolicy: 'idempotent',
  isStream: false,
  hasPrompt: false,
  maxTargets: 3,
  shares: [{ service: 'orders', weight: 1 }],
});

/** Reaches its targets through another router only. */
function createPartitioned(): FakeDependencies {
  const fakes = Fakes.createFakeDependencies((name) =>
    name === ROUTER.relayAddress ? ANSWERED : SILENCE,
  );
  fakes.setTargets(['o1', 'o2'].map((id) => Fakes.createTarget(id, { service: 'orders' })));
  ['o1', 'o2'].forEach((id) => fakes.unreachable.add(id));
  fakes.otherRouters.push(ROUTER);
  return fakes;
}

async function runRequest(
  { clock, dependencies }: FakeDependencies,
  change: Partial<ForwardRequest> = {},
): Promise<void> {
  const arrivedAtMs = clock.getNowMs();
  const expiresAtMs = arrivedAtMs + ROUTE.timeoutMs;
  const request = { ...Fakes.createRequest(ROUTE), ...change, arrivedAtMs, expiresAtMs };
  let isRunning = true;
  const running = FullAnswers.runFullAnswer(dependencies, request).finally(() => {
    isRunning = false;
  });
  while (isRunning) await clock.runFor(10);
  await running;
}

function countRequests({ clock, dependencies }: FakeDependencies): number {
  return dependencies.getBudget('orders').getTotals(clock.getNowMs()).requests;
}

describe('a request that goes through another router', () => {
  it('is counted by the router of its caller, whether it was sent to a target before or not', async () => {
    // Guards against a fleet that may repeat more, or less, because a request is counted twice or by nobody.
    const fakes = createPartitioned();
    for (const count of [1, 2, 3]) {
      await runRequest(fakes);
      expect(countRequests(fakes)).toEqual(count);
    }
    const hops = fakes.sentCalls.filter(({ target }) => target === ROUTER.relayAddress);
    expect(hops.length).toEqual(3);
  });

  it('is not counted by the other router', async () => {
    const fakes = Fakes.createFakeDependencies(() => ANSWERED);
    fakes.setTargets([Fakes.createTarget('o1', { service: 'orders' })]);
    await runRequest(fakes, { relayTerms: { version: 1, targetsLeft: 3 } });
    expect(fakes.sentCalls.map(({ target }) => target)).toEqual(['o1']);
    expect(countRequests(fakes)).toEqual(0);
  });
});
