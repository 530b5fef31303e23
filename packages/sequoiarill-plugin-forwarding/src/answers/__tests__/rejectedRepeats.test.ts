import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as FullAnswers from '../fullAnswer';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const REJECTED: Script = [
  [5, Fakes.createHead(503, { 'not-run': '1', 'content-length': '0' })],
  [5, { kind: 'end' }],
];
const OK: Script = [
  [5, Fakes.createHead(200, { 'content-length': '0' })],
  [5, { kind: 'end' }],
];
const LOST: Script = [[5, { kind: 'broken', reason: 'reset' }]];
const REQUESTS = 300;
const ROUTE = Fakes.createRoute({
  isStream: false,
  hasPrompt: false,
  retryPolicy: 'idempotent',
  timeoutMs: 600,
  objectiveMs: 100,
  maxTargets: 3,
  shares: [{ service: 'orders', weight: 1 }],
});

async function runRequests({ clock, dependencies }: FakeDependencies, count: number) {
  const arrivedAtMs = clock.getNowMs();
  const times = { arrivedAtMs, expiresAtMs: arrivedAtMs + ROUTE.timeoutMs };
  const running = Array.from({ length: count }, () =>
    FullAnswers.runFullAnswer(dependencies, { ...Fakes.createRequest(ROUTE), ...times }),
  );
  await clock.runFor(1_000);
  return Promise.all(running);
}

describe('requests that full targets reject', () => {
  it('leave repeats to requests that a target has lost', async () => {
    // Guards against a budget that is used up by arrivals at targets which are all full.
    let scripts: readonly Script[] = [REJECTED];
    const fake = Fakes.createFakeDependencies(() => {
      const [script = OK, ...others] = scripts;
      if (others.length > 0) scripts = others;
      return script;
    });
    fake.setTargets(['s0', 's1', 's2'].map((id) => Fakes.createTarget(id, { service: 'orders' })));
    const rejected = await runRequests(fake, REQUESTS);
    expect(new Set(rejected.map(({ kind }) => kind))).toEqual(new Set(['refused']));
    const budget = fake.dependencies.getBudget('orders');
    expect(budget.getBalance(fake.clock.getNowMs())).toBeGreaterThanOrEqual(1);
    scripts = [LOST, OK];
    const [answer] = await runRequests(fake, 1);
    expect(answer?.kind).toEqual('answer');
  });
});
