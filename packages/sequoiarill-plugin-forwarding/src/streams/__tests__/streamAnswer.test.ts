import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Played from './playStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const BROKEN: Script[number][1] = { kind: 'broken', reason: 'ECONNRESET' };

describe('a streamed answer', () => {
  it('goes to another engine at once when the one that reads the prompt goes dark', async () => {
    // An engine takes a prompt and goes dark without closing anything. Nothing is due from it for
    // 2.6 s, so the caller used to wait for that, and then for the whole prompt at the next engine:
    // its first event was late. Asked whether it lives, the engine is left within a second.
    const fake: FakeDependencies = Fakes.createFakeDependencies((target) => {
      if (target !== 'a1') return Played.createRun(1, 6);
      fake.reports.delete('a1');
      return [];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const played = await Played.playStream(fake);
    expect(played.text).toEqual(Played.formatAll(6));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
    expect(fake.sentCalls[1]?.atMs ?? Infinity).toBeLessThan(1_000);
  });

  it('has another copy made when the engine that keeps it is lost', async () => {
    // The keeper of the copy crashes and comes back as another life; two seconds later the engine of
    // the run crashes too. Without a second copy the prompt is read anew and the pause is seconds.
    const fake: FakeDependencies = Fakes.createFakeDependencies((target, headers) => {
      const from = Played.createFromHeader(headers);
      if (target !== 'a1') {
        const isFromCopy = headers.from === '10.0.0.1:a1/h1';
        const startMs = isFromCopy ? 60 : 1_500;
        const events = Fakes.createEvents(from, 60, 30, startMs);
        return [[50, Fakes.createHead(200)], ...events, [startMs + 30 * (61 - from), Played.END]];
      }
      return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 40, 30, 60), [1_300, BROKEN]];
    });
    const [a1, b1] = [Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })];
    const c1 = Fakes.createTarget('c1', { zone: 'b' });
    fake.setTargets([a1, b1, c1]);
    [a1, b1, c1].forEach(({ id }, running) =>
      fake.reports.set(id, { ...Fakes.IDLE_REPORT, running }),
    );
    const playing = Played.playStream(fake);
    fake.setTargets([a1, c1]);
    const played = await playing;
    expect(played.text).toEqual(Played.formatAll(60));
    expect(played.maxGapMs).toBeLessThan(700);
    expect(fake.commands).toEqual(['a1 to c1']);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'c1']);
  });

  it('goes on within a zone that is cut off just after a crash of its engines', async () => {
    // The router's zone a crashed: the run is in b and its first copy in c. Zone a is up again, and two
    // seconds later it is cut off: b falls silent and c cannot be reached. Only a copy that came
    // back to a in time saves the caller from waiting for its prompt once more.
    const lastMs = 60 + 79 * 30;
    const fake: FakeDependencies = Fakes.createFakeDependencies((target, headers) => {
      const from = Played.createFromHeader(headers);
      if (target === 'b1') {
        return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 80, 30, 60)];
      }
      if (target !== 'a1') return [];
      const startMs = headers.from === '10.0.0.1:b1/h1' ? 60 : 1_500;
      const events = Fakes.createEvents(from, 120, 30, startMs);
      return [[50, Fakes.createHead(200)], ...events, [startMs + 30 * (121 - from), Played.END]];
    });
    const [b1, c1] = [
      Fakes.createTarget('b1', { zone: 'b' }),
      Fakes.createTarget('c1', { zone: 'c' }),
    ];
    fake.setTargets([b1, c1]);
    fake.reports.set('b1', Fakes.IDLE_REPORT);
    fake.reports.set('c1', { ...Fakes.IDLE_REPORT, running: 3 });
    const zoneBack = fake.clock.waitMs(1_000).then(() => {
      fake.setTargets([Fakes.createTarget('a1'), b1, c1]);
      fake.reports.set('a1', Fakes.IDLE_REPORT);
    });
    const zoneCut = fake.clock.waitMs(lastMs).then(() => {
      fake.reports.delete('b1');
      fake.reports.delete('c1');
    });
    const [played] = await Promise.all([Played.playStream(fake), zoneBack, zoneCut]);
    expect(played.text).toEqual(Played.formatAll(120));
    expect(played.maxGapMs).toBeLessThan(700);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['b1', 'a1']);
  });

  it('stays with its engine when the router is paused and woken', async () => {
    // Guards against a second engine for each stream of a router that takes its own pause for a silence.
    const pauseMs = 2_000;
    const fake = Fakes.createFakeDependencies(() => {
      const before = Fakes.createEvents(1, 5, 30, 60);
      const after = Fakes.createEvents(6, 12, 30, 180 + pauseMs + 150);
      return [[50, Fakes.createHead(200)], ...before, ...after, [2_600, Played.END]];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const paused = fake.clock.waitMs(190).then(() => fake.clock.delay(pauseMs));
    const [played] = await Promise.all([Played.playStream(fake), paused]);
    expect(played.text).toEqual(Played.formatAll(12));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1']);
  });

  it('leaves a prompt with an engine that lives and reads slowly', async () => {
    // Two prompts are read before this one, of which the engine's report told one. The engine says that
    // it lives, and is not left before its first event, which would cost a third prompt.
    const slow: Script = [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 3, 30, 2_500)];
    const fake: FakeDependencies = Fakes.createFakeDependencies(() => {
      fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 3, prefilling: 3 });
      return [...slow, [2_600, Played.END]];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 1, prefilling: 1 });
    const played = await Played.playStream(fake);
    expect(played.text).toEqual(Played.formatAll(3));
    expect(fake.sentCalls.length).toEqual(1);
  });

  it('goes on from the copy within the pause that is on time, when an engine goes dark', async () => {
    // An engine falls silent after its fifth event, without closing anything, and answers no probe.
    // The caller sees one pause of less than 700 ms, and every event once.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Played.createRun(Played.createFromHeader(headers), 12);
      return target === 'a1' ? run.slice(0, 6) : run;
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const playing = Played.playStream(fake);
    await fake.clock.runFor(0);
    fake.reports.delete('a1');
    const played = await playing;
    expect(played.text).toEqual(Played.formatAll(12));
    expect(played.outcome?.kind).toEqual('complete');
    expect(played.maxGapMs).toBeLessThan(700);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
    expect(fake.sentCalls[0]?.headers.backup).toEqual('10.0.0.1:b1');
    expect(fake.sentCalls[1]?.headers.from).toEqual('10.0.0.1:b1/r1');
    expect(fake.sentCalls[1]?.headers.last).toEqual('5');
    expect(fake.sentCalls[0]?.isCancelled).toEqual(true);
  });

  it('goes on with a repeat that other routers had left', async () => {
    // 195 routers share the repeats of a service, one or two each. A router whose part went into the
    // crash before has another stream cut: its caller saw a broken answer, although the copy stood
    // ready and most of the other routers' parts were never used.
    const playCut = async (lenders: readonly (readonly [string, number])[]) => {
      const fake: FakeDependencies = Fakes.createFakeDependencies((target) =>
        target === 'a1'
          ? [...Played.createRun(1, 3).slice(0, -1), [200, BROKEN]]
          : Played.createRun(4, 6),
      );
      fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
      fake.reports.set('a1', Fakes.IDLE_REPORT);
      fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
      lenders.forEach(([router, repeats]) => fake.peerRetryQuota.set(router, repeats));
      fake.dependencies.getBudget('engines').grantQuota(0, Number.POSITIVE_INFINITY);
      return { played: await Played.playStream(fake), lenders: fake.peerRetryQuota };
    };
    const alone = await playCut([]);
    expect(alone.played.outcome?.kind).toEqual('broken');
    const lent = await playCut([
      ['10.0.0.2:1', 0.1],
      ['10.0.0.3:1', 0.8],
      ['10.0.0.4:1', 0.9],
    ]);
    expect(lent.played.text).toEqual(Played.formatAll(6));
    expect(lent.lenders.get('10.0.0.4:1')).toEqual(0.9);
  });

  for (const reason of ['is leaving', 'takes no more requests']) {
    it(`does not go on at a copy whose engine ${reason}`, async () => {
      // Guards against new work for a VM that is leaving, and against more than a target in need takes.
      const fake = Fakes.createFakeDependencies((target, headers) => {
        const run = Played.createRun(Played.createFromHeader(headers), 12);
        const broken: Script[number] = [200, { kind: 'broken', reason: 'ECONNRESET' }];
        return target === 'a1' ? [...run.slice(0, 4), broken] : run;
      });
      const running = Fakes.createTarget('a1');
      const copy = Fakes.createTarget('b1', { zone: 'b' });
      const other = Fakes.createTarget('b2', { zone: 'b' });
      fake.setTargets([running, copy]);
      for (const id of ['a1', 'b1', 'b2']) fake.reports.set(id, Fakes.IDLE_REPORT);
      const playing = Played.playStream(fake);
      await fake.clock.runFor(0);
      const isLeaving = reason === 'is leaving';
      if (!isLeaving) fake.rateLimited.add(copy.id);
      fake.setTargets([running, { ...copy, state: isLeaving ? 'draining' : 'ready' }, other]);
      const played = await playing;
      expect(played.text).toEqual(Played.formatAll(12));
      expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b2']);
      expect(fake.sentCalls[1]?.headers.from).toEqual(undefined);
    });
  }

  it('waits for a prompt that is being read, and leaves an engine that has started again', async () => {
    // Two engines are silent for seconds before their first event. One answers that it reads a prompt;
    // sent elsewhere, the prompt would be read twice. The other went dark, started again, and answers
    // that it has nothing to do; its old connection stays silent for good.
    const late = Played.createRun(1, 3).map(
      ([afterMs, event]) => [afterMs + 3_500, event] as const,
    );
    const busy = Fakes.createFakeDependencies(() => late);
    busy.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    busy.reports.set('a1', { ...Fakes.IDLE_REPORT, prefilling: 1, running: 1 });
    busy.reports.set('b1', { ...Fakes.IDLE_REPORT, prefilling: 4, running: 4 });
    expect((await Played.playStream(busy)).text).toEqual(Played.formatAll(3));
    expect(busy.sentCalls.length).toEqual(1);

    const restarted = Fakes.createFakeDependencies((target) =>
      target === 'a1' ? [] : Played.createRun(1, 3),
    );
    restarted.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    restarted.reports.set('a1', Fakes.IDLE_REPORT);
    restarted.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 2 });
    const played = await Played.playStream(restarted);
    expect(played.text).toEqual(Played.formatAll(3));
    expect(restarted.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
  });

  it('is refused at once when its first event would be late at all engines that were asked', async () => {
    // Engines are short, and each has four prompts to read. A fifth one would begin after its caller's
    // patience and slow the streams beside it; nothing is sent, and its caller is told when to come back.
    const fake = Fakes.createFakeDependencies(() => Played.createRun(1, 3));
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    const busy = { ...Fakes.IDLE_REPORT, running: 6, prefilling: 1, queued: 3 };
    fake.reports.set('a1', busy);
    fake.reports.set('b1', busy);
    const { outcome } = await Played.playStream(fake);
    expect(outcome?.kind).toEqual('refused');
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('tells a caller at once when nothing can go on', async () => {
    const fake = Fakes.createFakeDependencies(() => [
      [5, { kind: 'broken', reason: 'ECONNRESET' }],
    ]);
    fake.setTargets([]);
    const none = await Played.playStream(fake, 1_000);
    expect(none.outcome?.kind).toEqual('refused');
    fake.setTargets([Fakes.createTarget('a1')]);
    const lost = await Played.playStream(fake, 10_000);
    expect(lost.outcome?.kind).toEqual('failed');
    expect(fake.sentCalls.length).toEqual(5);
  });

  it('spends no repeats on engines that refuse connections, and lets them come back', async () => {
    // All engines crash together and refuse connections for a fifth of a second. Streams that spent a
    // repeat on each refusal used up what the router has within milliseconds, and all broke off.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Played.createRun(Played.createFromHeader(headers), 12);
      if (fake.clock.getNowMs() < 100) return [...run.slice(0, 3), [150, BROKEN]];
      if (fake.clock.getNowMs() < 350) return [[2, { kind: 'broken', reason: 'ECONNREFUSED' }]];
      return run;
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    const before = fake.dependencies.getBudget('engines').getBalance(0);
    const played = await Played.playStream(fake);
    expect(played.text).toEqual(Played.formatAll(12));
    const spent = before + 1 - fake.dependencies.getBudget('engines').getBalance(0);
    expect(spent).toBeLessThan(3);
  });

  it('takes no end without framing for the end of an answer that has framing', async () => {
    // A stream goes on at an engine whose part has no length and ends with its connection, in the
    // middle. Ended there, the caller's stream would look complete.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Played.createRun(Played.createFromHeader(headers), 12);
      const broken: Script[number] = [200, { kind: 'broken', reason: 'ECONNRESET' }];
      if (target === 'a1') return [...run.slice(0, 4), broken];
      if (target === 'c1') return run;
      const head = { status: 200, statusMessage: '', headers: { id: 'r1', signature: 's' } };
      return [[50, { kind: 'head', head }], ...run.slice(1, 4), [250, Played.END]];
    });
    fake.setTargets([
      Fakes.createTarget('a1'),
      Fakes.createTarget('b1', { zone: 'b' }),
      Fakes.createTarget('c1', { zone: 'c' }),
    ]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', Fakes.IDLE_REPORT);
    fake.reports.set('c1', { ...Fakes.IDLE_REPORT, running: 5 });
    const played = await Played.playStream(fake);
    expect(played.text).toEqual(Played.formatAll(12));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1', 'c1']);
  });
});
