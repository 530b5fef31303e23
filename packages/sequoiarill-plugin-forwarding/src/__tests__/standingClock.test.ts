import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as FullAnswers from '../answers/fullAnswer';
import type { ForwardRequest } from '../forwardRequest';
import * as SilenceLogs from '../targets/silenceLog';
import * as SilenceWatches from '../streams/silenceWatch';
import * as StreamAnswers from '../streams/streamAnswer';
import * as Fakes from './fakeDependencies';
import type { FakeDependencies, Script } from './fakeDependencies';

const TARGETS = ['a1', 'b1', 'c1'].map((id) => Fakes.createTarget(id));
const TURNS = 400;
/** Calls that a loop may make without a wait between them, over all its waits. */
const MAX_CALLS = 80;

const REFUSED: Script = [
  [0, Fakes.createHead(503, { 'not-run': '1' })],
  [0, { kind: 'end' }],
];
const CLOSED: Script = [[0, { kind: 'broken', reason: 'other side closed' }]];
const UNREACHED: Script = [];

interface Situation {
  readonly name: string;
  readonly script: Script;
  readonly prepare?: (fake: FakeDependencies) => void;
  readonly isCallerGone?: boolean;
}

const SITUATIONS: readonly Situation[] = [
  { name: 'targets that refuse at once', script: REFUSED },
  { name: 'targets that close at once', script: CLOSED },
  { name: 'targets that answer nothing', script: UNREACHED },
  { name: 'a caller who has left', script: REFUSED, isCallerGone: true },
  {
    name: 'targets that rest for a moment that does not pass',
    script: REFUSED,
    prepare: ({ restsUntilMs }) => TARGETS.forEach(({ id }) => restsUntilMs.set(id, 20)),
  },
  {
    name: 'targets at their rate limits',
    script: REFUSED,
    prepare: ({ rateLimited }) => TARGETS.forEach(({ id }) => rateLimited.add(id)),
  },
  {
    name: 'other routers that refuse at once',
    script: REFUSED,
    prepare(fake) {
      TARGETS.forEach((target) => {
        fake.unreachable.add(target.id);
        fake.dependencies.paths.recordLoss(target);
      });
      const zone = 'a';
      fake.otherRouters.push({ address: 'r2', zone, relayAddress: 'r2:1' });
      fake.otherRouters.push({ address: 'r3', zone, relayAddress: 'r3:1' });
    },
  },
];

function createSituation({ script, prepare, isCallerGone = false }: Situation) {
  const { clock, countWaits, runTurns } = Kernel.createStandingClock();
  const fake = Fakes.createFakeDependencies(() => script, clock);
  fake.setTargets(TARGETS);
  prepare?.(fake);
  const left = new AbortController();
  const request = { ...Fakes.createRequest(Fakes.createRoute()), closed: left.signal };
  if (isCallerGone) left.abort();
  return { fake, request, countWaits, runTurns, countCalls: () => fake.sentCalls.length };
}

async function runStream(fake: FakeDependencies, request: ForwardRequest): Promise<unknown> {
  const pieces = StreamAnswers.runStreamAnswer(fake.dependencies, request);
  let step = await pieces.next();
  while (step.done !== true) step = await pieces.next();
  return step.value;
}

const RUNS = {
  stream: runStream,
  'plain request': (fake: FakeDependencies, request: ForwardRequest): Promise<unknown> =>
    FullAnswers.runFullAnswer(fake.dependencies, request),
} as const;

// Failure: a loop trusts that something in it waits, and takes the whole processor time where nothing does.
describe('where the clock stands still', () => {
  for (const situation of SITUATIONS) {
    for (const [kind, run] of Object.entries(RUNS)) {
      it(`a ${kind} with ${situation.name} makes few calls for each wait`, async () => {
        const { fake, request, countWaits, runTurns, countCalls } = createSituation(situation);
        const running = run(fake, request);
        await runTurns(TURNS);
        expect(countCalls()).toBeLessThanOrEqual(MAX_CALLS + countWaits());
        expect(countWaits()).toBeLessThanOrEqual(20 * TURNS);
        running.catch(() => undefined);
      });
    }
  }

  it('a silent run whose check reads nothing makes few checks for each wait', async () => {
    const { clock, countWaits, runTurns } = Kernel.createStandingClock();
    const fake = Fakes.createFakeDependencies(() => [], clock);
    const [target] = TARGETS;
    if (target === undefined) throw new Error('no target');
    fake.setTargets(TARGETS);
    const request = Fakes.createRequest(Fakes.createRoute());
    let reads = 0;
    const dependencies = {
      ...fake.dependencies,
      async readReport() {
        reads += 1;
        // Alternates, so that no number of misses in a row ends the checks.
        return reads % 2 === 0 ? { ...Fakes.IDLE_REPORT, runIds: ['r1'] } : undefined;
      },
    };
    const watch = SilenceWatches.createSilenceWatch(
      dependencies,
      {
        request,
        target,
        hasCopy: () => false,
        timeouts: { gapMs: 100, firstTokenMs: 0 },
        call: { readEvent: () => Promise.race([]) },
        takeover: {
          reserve: async () => ({ kind: 'kept', reason: 'noRepeatLeft' }),
          release: () => undefined,
        },
        isBegun: false,
        silences: SilenceLogs.createSilenceLog(dependencies, request, target),
      },
      { hasEvents: false, sinceMs: 0 },
    );
    watch().catch(() => undefined);
    await runTurns(TURNS);
    expect(reads).toBeLessThanOrEqual(MAX_CALLS + countWaits());
  });
});
