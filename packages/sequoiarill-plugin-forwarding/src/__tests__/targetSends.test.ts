import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as FullAnswers from '../answers/fullAnswer';
import { RELAY_HEADERS } from '../relay/relayHeaders';
import * as Simulation from '../streams/__tests__/simulateStream';
import * as Fakes from './fakeDependencies';
import type { FakeDependencies, Script } from './fakeDependencies';

const SEED = 85;
const RUNS = 150;
const ROUTERS = ['r1', 'r2', 'r3', 'r4'].map((name) => ({
  address: `${name}:1`,
  relayAddress: `${name}:2`,
  zone: 'a',
}));
const TARGETS = ['t1', 't2', 't3', 't4', 't5', 't6', 't7'];
const NOT_SENT: Script = [[1, { kind: 'broken', reason: 'ECONNREFUSED' }]];
const SILENT: Script = [];
const RESET: Script = [[5, { kind: 'broken', reason: 'ECONNRESET' }]];

/** What a target does with a request, or another router, which sends it to so many of the targets that it may. */
const BEHAVIOURS = [
  'rejects',
  'misdirects',
  'fails',
  'resets',
  'diesInStream',
  'isSilent',
  'refusesConnection',
] as const;

type Behaviour = (typeof BEHAVIOURS)[number];

const KINDS = {
  'streams that may be resumed': { retryPolicy: 'resumable', isStream: true, hasPrompt: true },
  'streams that may run once': { retryPolicy: 'once', isStream: true, hasPrompt: true },
  reads: { retryPolicy: 'idempotent', isStream: false, hasPrompt: false },
  orders: { retryPolicy: 'once', isStream: false, hasPrompt: false },
} as const;

type Kind = keyof typeof KINDS;

function createEnd(status: number, headers: Readonly<Record<string, string>> = {}): Script {
  return [
    [5, Fakes.createHead(status, headers)],
    [5, { kind: 'end' }],
  ];
}

function createTargetScript(behaviour: Behaviour, isStream: boolean): Script {
  if (behaviour === 'rejects') return createEnd(503, { 'not-run': '1' });
  if (behaviour === 'misdirects') return createEnd(421, { 'not-run': '1' });
  if (behaviour === 'fails') return createEnd(500);
  if (behaviour === 'diesInStream' && isStream) {
    return [
      [5, Fakes.createHead(200)],
      ...Fakes.createEvents(1, 3, 10, 10),
      [60, { kind: 'broken', reason: 'ECONNRESET' }],
    ];
  }
  if (behaviour === 'isSilent') return SILENT;
  return behaviour === 'refusesConnection' ? NOT_SENT : RESET;
}

/** The end that a router without an answer for the request tells: what it has sent, and whether it may have run. */
function createRouterEnd(behaviour: Behaviour, sends: number): Script {
  const isRefused = behaviour === 'rejects' || behaviour === 'misdirects';
  const { kind, head } = Fakes.createHead(isRefused ? 503 : 502, {
    [RELAY_HEADERS.version]: '1',
    [RELAY_HEADERS.sends]: String(sends),
    ...(isRefused ? { [RELAY_HEADERS.refused]: 'refused' } : {}),
  });
  const { signature, ...headers } = head.headers;
  return [
    [5, { kind, head: { ...head, headers } }],
    [5, { kind: 'end' }],
  ];
}

interface Play {
  readonly maxTargets: number;
  /** Of the sends in their order; the last one goes on. */
  readonly behaviours: readonly Behaviour[];
  /** Number of sends after which targets are reached through other routers only. */
  readonly sendsBeforeCut: number;
}

interface Counts {
  /** Sends to targets, with those that other routers have made, or may have. */
  sends: number;
  /** Sends to targets and through routers that have reached one. */
  arrivals: number;
}

function createFakes(
  kind: Kind,
  { behaviours, sendsBeforeCut }: Play,
  counts: Counts,
): FakeDependencies {
  const { isStream } = KINDS[kind];
  let calls = 0;
  const fakes: FakeDependencies = Fakes.createFakeDependencies((name, headers) => {
    const behaviour = behaviours[Math.min(calls, behaviours.length - 1)] ?? 'rejects';
    calls += 1;
    if (calls === sendsBeforeCut) closePaths();
    if (behaviour === 'refusesConnection') return NOT_SENT;
    counts.arrivals += 1;
    if (!name.startsWith('r')) {
      counts.sends += 1;
      return createTargetScript(behaviour, isStream);
    }
    const allowed = Number(headers[RELAY_HEADERS.targetsLeft]);
    counts.sends += allowed;
    if (behaviour !== 'isSilent') return createRouterEnd(behaviour, allowed);
    fakes.goneRouters.add(name);
    return SILENT;
  });
  const service = isStream ? 'engines' : 'orders';
  const targets = TARGETS.map((id) => Fakes.createTarget(id, { service }));
  fakes.setTargets(targets);
  fakes.otherRouters.push(...ROUTERS);
  targets.forEach(({ id }) => fakes.reports.set(id, Fakes.IDLE_REPORT));

  function closePaths(): void {
    for (const target of targets) {
      fakes.unreachable.add(target.id);
      fakes.reports.delete(target.id);
      fakes.dependencies.paths.recordLoss(target);
    }
  }

  if (sendsBeforeCut === 0) closePaths();
  return fakes;
}

async function runPlay(kind: Kind, play: Play): Promise<Counts & { readonly taken: number }> {
  const counts = { sends: 0, arrivals: 0 };
  const fakes = createFakes(kind, play, counts);
  const { clock, dependencies } = fakes;
  await clock.runFor(400);
  const shape = { ...KINDS[kind], maxTargets: play.maxTargets };
  if (shape.isStream) await Simulation.simulateStream(fakes, 25_000, shape);
  else {
    const shares = [{ service: 'orders', weight: 1 }];
    const route = Fakes.createRoute({ ...shape, timeoutMs: 4_000, objectiveMs: 300, shares });
    const arrivedAtMs = clock.getNowMs();
    const times = { arrivedAtMs, expiresAtMs: arrivedAtMs + route.timeoutMs };
    const running = FullAnswers.runFullAnswer(dependencies, {
      ...Fakes.createRequest(route),
      ...times,
    });
    await clock.runFor(5_000);
    await running;
  }
  const { taken } = dependencies.getBudget('').describe(clock.getNowMs());
  return { ...counts, taken };
}

const PLAYS = FastCheck.record({
  maxTargets: FastCheck.integer({ min: 1, max: 5 }),
  behaviours: FastCheck.array(FastCheck.constantFrom(...BEHAVIOURS), {
    minLength: 1,
    maxLength: 12,
  }),
  sendsBeforeCut: FastCheck.integer({ min: 0, max: 6 }),
});

describe('a request that targets reject, lose or fail', () => {
  for (const kind of Object.keys(KINDS) as Kind[]) {
    it(`reaches no more targets than its route allows: ${kind}`, async () => {
      // Guards against sends that do not count because their targets rejected them.
      await FastCheck.assert(
        FastCheck.asyncProperty(PLAYS, async (play) => {
          const { sends } = await runPlay(kind, play);
          expect(sends).toBeLessThanOrEqual(play.maxTargets);
        }),
        { seed: SEED, numRuns: RUNS },
      );
    });

    it(`arrives beyond the first time only as often as repeats are taken: ${kind}`, async () => {
      // Guards against a place that sends without taking a repeat.
      await FastCheck.assert(
        FastCheck.asyncProperty(PLAYS, async (play) => {
          const { arrivals, taken } = await runPlay(kind, play);
          expect(arrivals - 1).toBeLessThanOrEqual(taken);
        }),
        { seed: SEED, numRuns: RUNS },
      );
    });
  }
});
