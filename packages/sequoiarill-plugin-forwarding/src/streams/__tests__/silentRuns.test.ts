import { describe, it } from 'node:test';

import type { EngineReport } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as SilenceWatches from '../silenceWatch';
import type { AttemptTakeover } from '../silenceWatch';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import { RELAY_HEADERS } from '../../relay/relayHeaders';
import type { CallEvent } from '../../targets/targetCall';
import * as SilenceLogs from '../../targets/silenceLog';
import type { TargetContact } from '../../targets/contactCheck';

const A1 = Fakes.createTarget('a1');
const B1 = Fakes.createTarget('b1');
const C1 = Fakes.createTarget('c1');
const D1 = Fakes.createTarget('d1');
const EVENTS = 10;
const SILENT_FROM_MS = 60 + 4 * 30;
const SILENCE_MS = 2_000;

/** A run that pauses after its fifth event, and then goes on. */
function createPausedRun(silenceMs = SILENCE_MS): Script {
  const goesOnMs = SILENT_FROM_MS + silenceMs;
  return [
    [50, Fakes.createHead(200)],
    ...Fakes.createEvents(1, 5, 30, 60),
    ...Fakes.createEvents(6, EVENTS, 30, goesOnMs),
    [goesOnMs + 200, Simulation.END],
  ];
}

function createLateRun(firstMs: number): Script {
  return [
    [50, Fakes.createHead(200)],
    ...Fakes.createEvents(1, EVENTS, 30, firstMs),
    [firstMs + 400, Simulation.END],
  ];
}

function createRest(headers: Readonly<Record<string, string>>): Script {
  return Simulation.createRun(Simulation.createFromHeader(headers), EVENTS);
}

function setReports(fake: FakeDependencies, ids: readonly string[], change = {}): void {
  const report: EngineReport = { ...Fakes.IDLE_REPORT, running: 1, runIds: ['r1'], ...change };
  ids.forEach((id) => fake.reports.set(id, report));
}

function setSilent(fake: FakeDependencies, ids: readonly string[], contact: TargetContact): void {
  ids.forEach((id) => {
    fake.reports.delete(id);
    fake.contacts.set(id, contact);
  });
}

function runLater(fake: FakeDependencies, ms: number, change: () => void): void {
  fake.clock.waitMs(ms).then(change, () => undefined);
}

describe('a stream whose engine is sound and silent', () => {
  it('stays with an engine that has left the directory and closed its listener', async () => {
    // Guards against the end of the last answers of a server that leaves: its entry is removed, it takes no connections
    // and goes on serving.
    const fake = Fakes.createFakeDependencies(() => createPausedRun());
    fake.setTargets([A1]);
    setReports(fake, ['a1']);
    runLater(fake, SILENT_FROM_MS, () => {
      fake.setTargets([]);
      setSilent(fake, ['a1'], 'refuses');
    });
    const { text } = await Simulation.simulateStream(fake);
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });

  it('is not given up for one connection attempt without a response', async () => {
    // Guards against a run that ends because its paused engine lost its entry and one attempt took longer than 50 ms.
    const fake = Fakes.createFakeDependencies(() => createPausedRun());
    fake.setTargets([A1]);
    setReports(fake, ['a1']);
    runLater(fake, SILENT_FROM_MS, () => {
      fake.setTargets([]);
      setSilent(fake, ['a1'], 'accepts');
    });
    let attempts = 0;
    const checkConnection = async () => {
      attempts += 1;
      return attempts === 1 ? ('silent' as const) : ('alive' as const);
    };
    const contacts = { ...fake.dependencies.contacts, checkConnection };
    const dependencies = { ...fake.dependencies, contacts };
    const { text } = await Simulation.simulateStream({ ...fake, dependencies });
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });

  it('stays with its only engine although the bytes of its last events are held on the way', async () => {
    // Guards against a run that counts as lost because its engine has ended it and its last bytes have not arrived.
    const fake = Fakes.createFakeDependencies(() => createPausedRun(3_000));
    fake.setTargets([A1]);
    setReports(fake, ['a1']);
    runLater(fake, SILENT_FROM_MS + 100, () => setReports(fake, ['a1'], { runIds: [] }));
    const { text } = await Simulation.simulateStream(fake);
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });

  it('stays with an engine that lists the run although no event has come yet', async () => {
    // Guards against a first event that was sent and is held on the way: the report lists the run as begun.
    const fake = Fakes.createFakeDependencies(() => createLateRun(8_000));
    fake.setTargets([A1]);
    setReports(fake, ['a1']);
    const { text } = await Simulation.simulateStream(fake);
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });

  it('waits for its first event where the only engine is out of reach for three seconds', async () => {
    // Guards against a request that must not run twice, and that is failed while its engine runs it: a plain request stays.
    const fake = Fakes.createFakeDependencies(() => createLateRun(3_500));
    fake.setTargets([A1]);
    setSilent(fake, ['a1'], 'unreachable');
    const { text } = await Simulation.simulateStream(fake, 30_000, { retryPolicy: 'once' });
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });

  async function simulateError(prepare: (fake: FakeDependencies) => void) {
    const body: CallEvent = { kind: 'data', chunk: Buffer.from('no') };
    const fake = Fakes.createFakeDependencies(() => [
      [1_500, Fakes.createHead(400)],
      [1_520, body],
      [1_530, Simulation.END],
    ]);
    fake.setTargets([A1]);
    prepare(fake);
    const { outcome } = await Simulation.simulateStream(fake);
    return outcome?.kind;
  }

  it('returns a whole answer of another status whose body comes 20 ms after its head', async () => {
    // Guards against an answer whose head comes after the first check and whose body is given up at once.
    const kind = await simulateError((fake) => setReports(fake, ['a1'], { prefilling: 1 }));
    expect(kind).toEqual('answer');
  });

  it('returns the same from an engine that was paused before', async () => {
    // Guards against an answer whose head ends a silence and whose body is given up at once.
    const kind = await simulateError((fake) => setSilent(fake, ['a1'], 'accepts'));
    expect(kind).toEqual('answer');
  });

  it('is not refused because another router that hears others has no room', async () => {
    // Guards against a new stream that leaves its paused engine for a router which refuses it.
    const fake = Fakes.createFakeDependencies((target) =>
      target === 'a1'
        ? createLateRun(3_000)
        : [
            [
              20,
              Fakes.createHead(503, {
                [RELAY_HEADERS.version]: '1',
                [RELAY_HEADERS.refused]: 'refused',
              }),
            ],
          ],
    );
    fake.setTargets([A1]);
    setSilent(fake, ['a1'], 'accepts');
    fake.otherRouters.push({ address: 'x1:1', relayAddress: 'x1:2', zone: 'a' });
    fake.heardElsewhere.add('engines');
    runLater(fake, 400, () => {
      fake.pausedUntilMs.set('a1', 2_900);
      fake.dependencies.paths.recordLoss(A1);
    });
    const { text } = await Simulation.simulateStream(fake);
    expect(text).toEqual(Simulation.formatAll(EVENTS));
  });
});

describe('a stream whose engine is dead', () => {
  /** Streams at other engines that stopped when this one did. */
  function startOthers({ dependencies, clock }: FakeDependencies): void {
    [B1, C1].forEach((target) => {
      dependencies.activity.startRun(target).recordEvents(clock.getRunningMs());
    });
  }

  async function simulateDead(contact: TargetContact, hasOthers: boolean): Promise<number> {
    const fake = Fakes.createFakeDependencies((target, headers) =>
      target === 'a1' ? createPausedRun(60_000) : createRest(headers),
    );
    fake.setTargets([A1]);
    setReports(fake, ['a1']);
    runLater(fake, 100, () => fake.setTargets([A1, B1, C1, D1]));
    setReports(fake, ['b1', 'c1', 'd1'], { running: 3, runIds: [] });
    runLater(fake, SILENT_FROM_MS, () => {
      setSilent(fake, ['a1', 'b1', 'c1'], contact);
      if (hasOthers) startOthers(fake);
    });
    await Simulation.simulateStream(fake, 19_000);
    return fake.sentCalls[1]?.atMs ?? Number.POSITIVE_INFINITY;
  }

  it('goes on at a live engine where connections are refused, whatever streams the others had', async () => {
    // Guards against engines of a zone that was powered off and on, whose streams all wait for each other.
    const aloneMs = await simulateDead('refuses', false);
    const withOthersMs = await simulateDead('refuses', true);
    expect(aloneMs).toBeLessThan(1_500);
    expect(withOthersMs).toBeLessThan(1_500);
  });

  it('goes on at a live engine where the host is gone, whatever streams the others had', async () => {
    // Guards against engines of a zone without power, whose streams all wait for each other.
    expect(await simulateDead('unreachable', true)).toBeLessThan(1_500);
  });
});

describe('the watch over a silent run that has a copy', () => {
  it('says that its host is unreachable, also after 2.5 s', async () => {
    // Guards against a dead engine's run that counts as paused with the others, because a copy spares the connection
    // attempt, and that is never taken over once the first attempts to do so have failed.
    const fake = Fakes.createFakeDependencies(() => []);
    fake.setTargets([A1]);
    setSilent(fake, ['a1'], 'unreachable');
    const { dependencies, clock } = fake;
    const request = Fakes.createRequest(Fakes.createRoute());
    const asked: Parameters<AttemptTakeover['reserve']>[0][] = [];
    const reserve: AttemptTakeover['reserve'] = async (run) => {
      asked.push(run);
      return { kind: 'kept', reason: 'noOtherAnswers' };
    };
    const waitForEnd = SilenceWatches.createSilenceWatch(
      dependencies,
      {
        request,
        target: A1,
        hasCopy: () => true,
        timeouts: { firstTokenMs: 700, gapMs: 420 },
        call: dependencies.openCall(request, A1, { extraHeaders: [], isRepeat: false }),
        takeover: { reserve, release: () => undefined },
        isBegun: false,
        silences: SilenceLogs.createSilenceLog(dependencies, request, A1),
      },
      { hasEvents: true, sinceMs: clock.getRunningMs() - 2_500 },
    );
    waitForEnd().catch(() => undefined);
    await clock.runFor(5_000);
    expect(asked.length).toBeGreaterThan(5);
    expect(asked.some(({ isUnreachable }) => isUnreachable)).toEqual(true);
  });
});

describe('a reserved send', () => {
  it('is not used for a part that was blocked while the next engine was asked', async () => {
    // Guards against a part that crashes engines and is sent to one more of them.
    const fake = Fakes.createFakeDependencies((target, headers) =>
      target === 'a1' ? createPausedRun(60_000) : createRest(headers),
    );
    fake.setTargets([A1]);
    setReports(fake, ['a1', 'b1']);
    runLater(fake, 100, () => fake.setTargets([A1, B1]));
    let isBlocked = false;
    runLater(fake, SILENT_FROM_MS, () => {
      setSilent(fake, ['a1'], 'refuses');
      fake.responseDelayMs.set('b1', 30);
    });
    const { dependencies, clock } = fake;
    const readReport: typeof dependencies.readReport = async (target, limitMs) => {
      const report = await dependencies.readReport(target, limitMs);
      if (target.id === 'b1' && clock.getNowMs() > SILENT_FROM_MS) isBlocked = true;
      return report;
    };
    const findBlock = () =>
      isBlocked ? { reason: 'its part crashes engines', retryAfterSeconds: 1 } : undefined;
    const crashes = { ...dependencies.crashes, findBlock };
    const changed = { ...fake, dependencies: { ...dependencies, readReport, crashes } };
    await Simulation.simulateStream(changed);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1']);
  });

  it('does not ask other routers for a repeat at each look at a silent engine', async () => {
    // Guards against calls to other routers that grow with silent streams while no repeat is left.
    const fake = Fakes.createFakeDependencies(() => createPausedRun(9_000));
    fake.setTargets([A1]);
    setReports(fake, ['a1', 'b1']);
    runLater(fake, 100, () => fake.setTargets([A1, B1]));
    const { dependencies } = fake;
    dependencies.getBudget('engines').grantQuota(0, Number.POSITIVE_INFINITY);
    ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].forEach((peer) => fake.peerRetryQuota.set(peer, 0));
    let asked = 0;
    Object.assign(dependencies.peers, {
      async borrowRetryQuota() {
        asked += 1;
        return { kind: 'granted', repeats: 0 };
      },
    });
    runLater(fake, SILENT_FROM_MS, () => setSilent(fake, ['a1'], 'accepts'));
    await Simulation.simulateStream(fake);
    // Six routers once a second.
    expect(asked).toBeLessThanOrEqual(9 * 6);
  });
});
