import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ForwardOutcome } from '../../forwardRequest';
import { RELAY_HEADERS } from '../../relay/relayHeaders';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import * as FullAnswers from '../fullAnswer';

const ANSWER_MS = 1_500;
const REFUSED: Script = [
  [20, Fakes.createHead(503, { [RELAY_HEADERS.version]: '1', [RELAY_HEADERS.refused]: 'refused' })],
];

describe('a plain request at a target that is silent', () => {
  it('stays where another router refuses it', async () => {
    // Guards against an idempotent request that leaves a sound target, whose connections fail for 1.3 s, for a router
    // that has no room.
    const fake: FakeDependencies = Fakes.createFakeDependencies((target) =>
      target.startsWith('x')
        ? REFUSED
        : [
            [ANSWER_MS, Fakes.createHead(200)],
            [ANSWER_MS, { kind: 'end' }],
          ],
    );
    const targets = ['o1', 'o2', 'o3'].map((id) => Fakes.createTarget(id, { service: 'orders' }));
    fake.setTargets(targets);
    targets.forEach(({ id }) => fake.unreachable.add(id));
    fake.otherRouters.push({ address: 'x1:1', relayAddress: 'x1:2', zone: 'a' });
    const route = Fakes.createRoute({
      isStream: false,
      hasPrompt: false,
      retryPolicy: 'idempotent',
      timeoutMs: 6_000,
      objectiveMs: 400,
      maxTargets: 3,
      shares: [{ service: 'orders', weight: 1 }],
    });
    let outcome: ForwardOutcome | undefined;
    FullAnswers.runFullAnswer(fake.dependencies, Fakes.createRequest(route)).then(
      (result) => {
        outcome = result;
      },
      () => undefined,
    );
    await fake.clock.runFor(10_000);
    expect(outcome?.kind).toEqual('answer');
  });
});
