import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { ContactOutcome, RouterLocation } from '@sequoiarill/types';
import { expect } from 'earl';

import * as PeerContacts from '../peerContacts';
import * as Fakes from '../../__tests__/fakeDependencies';

const SERVICE = 'engines';
const CALL_MS = 5;
const TIMEOUT_MS = 150;
/** Time for which questions share a round. */
const ROUND_MS = 100;

type Line = Readonly<Record<string, unknown>>;

/** What another router does when it is asked. */
interface FakeRouter {
  readonly zone?: string;
  /** Running time at which it last heard a target; undefined if never. */
  readonly heardAtMs?: number;
  /** Why its call fails; `no response` fails after the timeout. */
  readonly failure?: string;
}

function createContacts(routers: Readonly<Record<string, FakeRouter>>) {
  const clock = Kernel.createFakeClock();
  const { dependencies } = Fakes.createFakeDependencies(() => [], clock);
  const asked: string[] = [];
  const lines: Line[] = [];
  const listRouters = (): readonly RouterLocation[] => [
    { address: 'self', zone: 'a' },
    ...Object.entries(routers).map(([address, { zone = 'a' }]) => ({ address, zone })),
  ];
  const contacts = PeerContacts.createPeerContacts({
    clock,
    nextRandom: dependencies.nextRandom,
    zone: 'a',
    paths: dependencies.paths,
    log: {
      logEvent: ({ name }, fields) => lines.push({ name, ...fields }),
    },
    peers: {
      self: 'self',
      listRouters,
      async findContact(address): Promise<ContactOutcome> {
        asked.push(address);
        const { failure, heardAtMs } = routers[address] as FakeRouter;
        await clock.waitMs(failure === 'no response' ? TIMEOUT_MS : CALL_MS);
        if (failure !== undefined) return { kind: 'failed', reason: failure };
        if (heardAtMs === undefined) return { kind: 'contact', contact: {} };
        const heardAgeMs = Math.max(0, clock.getRunningMs() - heardAtMs);
        return { kind: 'contact', contact: { heardAgeMs } };
      },
    },
  });
  /** Returns the outcome and the time that it took. */
  async function runQuestion(
    sinceMs: number,
    service = SERVICE,
  ): Promise<readonly [boolean, number]> {
    const startedMs = clock.getNowMs();
    let endedMs = startedMs;
    const outcome = contacts.isHeardElsewhere(service, sinceMs).then((isHeard) => {
      endedMs = clock.getNowMs();
      return isHeard;
    });
    await clock.runFor(TIMEOUT_MS);
    return [await outcome, endedMs - startedMs];
  }
  return { clock, dependencies, contacts, asked, lines, runQuestion };
}

describe('contacts of other routers', () => {
  it('count where a target was heard in the later part of the silence', async () => {
    // Guards against a pause of all targets that is taken for the loss of the own path, since other routers heard
    // them a moment later than this one, or this one had no request for a while before the pause.
    const cases: readonly [silentMs: number, heardAgeMs: number | undefined, isHeard: boolean][] = [
      [600, 20, true],
      [600, 280, true],
      [600, 320, false],
      [600, 590, false],
      [600, undefined, false],
      [150, 20, true],
      [150, 70, false],
      [80, 0, false],
      [4_000, 400, true],
      [4_000, 600, false],
    ];
    for (const [silentMs, heardAgeMs, isHeard] of cases) {
      const nowMs = 10_000;
      const heard = heardAgeMs === undefined ? {} : { heardAtMs: nowMs - heardAgeMs };
      const { clock, runQuestion } = createContacts({ r1: heard });
      await clock.runFor(nowMs);
      expect(await runQuestion(nowMs - silentMs)).toEqual([isHeard, CALL_MS]);
    }
  });

  it('need one router that answers, whatever the others do', async () => {
    // Guards against a wait for a router that is gone, and against failures that count as heard: a router of an
    // earlier build does not know the call.
    const { clock, runQuestion } = createContacts({
      gone: { failure: 'no response' },
      earlier: { zone: 'b', failure: 'No procedure found on path "findContact"' },
      sound: { zone: 'c', heardAtMs: 1_990 },
    });
    await clock.runFor(2_000);
    expect(await runQuestion(1_400)).toEqual([true, CALL_MS]);
  });

  it('are not known where no router answers or there is none', async () => {
    const failing = createContacts({
      gone: { failure: 'no response' },
      earlier: { zone: 'b', failure: 'No procedure found on path "findContact"' },
    });
    await failing.clock.runFor(2_000);
    expect(await failing.runQuestion(1_400)).toEqual([false, TIMEOUT_MS]);
    const alone = createContacts({});
    await alone.clock.runFor(2_000);
    expect(await alone.runQuestion(1_400)).toEqual([false, 0]);
    expect(alone.asked).toEqual([]);
  });

  it('are asked of a near router and of two in other zones', async () => {
    // Guards against questions to routers of the own zone alone, which has lost its path as a whole.
    const zones = ['a', 'b', 'c', 'd'];
    const names = zones.flatMap((zone) => [1, 2, 3, 4].map((number) => `${zone}${number}`));
    const routers = names.map((name) => [name, { zone: name.slice(0, 1) }] as const);
    const { clock, asked, runQuestion } = createContacts(Object.fromEntries(routers));
    for (let round = 0; round < 20; round += 1) {
      await runQuestion(clock.getRunningMs() - 500);
      const [near, ...far] = asked.splice(0).map((name) => name.slice(0, 1));
      expect(near).toEqual('a');
      expect(far.length).toEqual(2);
      expect(new Set(far).size).toEqual(2);
      expect(far).not.toInclude('a');
      await clock.runFor(ROUND_MS);
    }
  });

  it('are asked three times where all routers are in one zone', async () => {
    const { clock, asked, runQuestion } = createContacts({
      r1: {},
      r2: {},
      r3: {},
      r4: {},
      r5: {},
    });
    await clock.runFor(1_000);
    await runQuestion(500);
    expect(new Set(asked).size).toEqual(3);
  });

  it('are asked once for all questions of a service within 100 ms', async () => {
    // Guards against three calls for each of the hundreds of streams that fall silent in the same moment.
    const { clock, contacts, asked } = createContacts({ r1: { heardAtMs: 990 } });
    await clock.runFor(1_000);
    const questions = [500, 400, 950].map((sinceMs) => contacts.isHeardElsewhere(SERVICE, sinceMs));
    await clock.runFor(ROUND_MS - 10);
    questions.push(contacts.isHeardElsewhere(SERVICE, 600));
    // Each question is judged by its own silence.
    expect(await Promise.all(questions)).toEqual([true, true, false, true]);
    expect(asked).toEqual(['r1']);
    const others = contacts.isHeardElsewhere('others', 500);
    await clock.runFor(10);
    const next = contacts.isHeardElsewhere(SERVICE, 500);
    await clock.runFor(CALL_MS);
    expect(await Promise.all([others, next])).toEqual([true, true]);
    expect(asked).toEqual(['r1', 'r1', 'r1']);
  });

  it('are logged with what each router said, once a second while the outcome stays the same', async () => {
    // Guards against a decision that no line explains, and against a line for each stream and look.
    const routers: Record<'r1' | 'r2', FakeRouter> = {
      r1: { heardAtMs: 1_000 },
      r2: { zone: 'b', failure: 'no response' },
    };
    const { clock, dependencies, lines, runQuestion } = createContacts(routers);
    await clock.runFor(2_000);
    for (let look = 0; look < 5; look += 1) await runQuestion(1_000);
    // An age counts from the send of the question, so it is 5 ms longer here and below than the true one.
    const answers = [
      { router: 'r1', zone: 'a', heardAgeMs: 1_155 },
      { router: 'r2', zone: 'b', reason: 'no response' },
    ];
    expect(lines.length).toEqual(1);
    expect(lines[0]).toEqual({
      ...{ name: 'path.silentElsewhere', service: SERVICE, silentMs: 1_150, answers },
      ...dependencies.paths.getSummary(SERVICE),
    });
    await clock.runFor(1_000);
    await runQuestion(1_000);
    routers.r1 = { heardAtMs: 3_800 };
    await clock.runFor(100);
    await runQuestion(1_000);
    expect(lines.map(({ name }) => name)).toEqual([
      'path.silentElsewhere',
      'path.silentElsewhere',
      'path.heardElsewhere',
    ]);
    const { router, zone, routerHeardAgeMs, silentMs } = lines[2] ?? {};
    expect([router, zone, routerHeardAgeMs, silentMs]).toEqual(['r1', 'a', 210, 3_005]);
  });
});
