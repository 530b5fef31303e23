import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';

const BROKEN: Script[number][1] = { kind: 'broken', reason: 'ECONNRESET' };

describe('a streamed answer', () => {
  it('moves to another engine soon after the engine that prefills becomes unreachable', async () => {
    // An engine accepts a prompt and becomes unreachable without closing its connections. No event
    // is due for 2.6 s; without probes the caller waits that long and then for the whole prefill on
    // the next engine, and the first event is late. With probes the loss is detected within a
    // second.
    const fake: FakeDependencies = Fakes.createFakeDependencies((target) => {
      if (target !== 'a1') return Simulation.createRun(1, 6);
      fake.reports.delete('a1');
      return [];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(6));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
    expect(fake.sentCalls[1]?.atMs ?? Infinity).toBeLessThan(1_000);
  });

  it('requests another copy when the holder of the copy is lost', async () => {
    // The holder of the copy crashes and returns as another incarnation; two seconds later the
    // engine of the run crashes too. Without a second copy the prompt is prefilled again, a pause
    // of seconds.
    const fake: FakeDependencies = Fakes.createFakeDependencies((target, headers) => {
      const from = Simulation.createFromHeader(headers);
      if (target !== 'a1') {
        const isFromCopy = headers.from === '10.0.0.1:a1/h1';
        const startMs = isFromCopy ? 60 : 1_500;
        const events = Fakes.createEvents(from, 60, 30, startMs);
        return [
          [50, Fakes.createHead(200)],
          ...events,
          [startMs + 30 * (61 - from), Simulation.END],
        ];
      }
      return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 40, 30, 60), [1_300, BROKEN]];
    });
    const [a1, b1] = [Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })];
    const c1 = Fakes.createTarget('c1', { zone: 'b' });
    fake.setTargets([a1, b1, c1]);
    [a1, b1, c1].forEach(({ id }, running) =>
      fake.reports.set(id, { ...Fakes.IDLE_REPORT, running }),
    );
    const holderLost = fake.clock.waitMs(10).then(() => fake.setTargets([a1, c1]));
    const [result] = await Promise.all([Simulation.simulateStream(fake), holderLost]);
    expect(result.text).toEqual(Simulation.formatAll(60));
    expect(result.maxGapMs).toBeLessThan(700);
    expect(fake.commands).toEqual(['a1 to c1']);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'c1']);
  });

  it('continues in the local zone when that zone is cut off just after a crash of its engines', async () => {
    // After a crash of the router's zone a, the run is in b and its first copy in c. Zone a is up
    // again, and two seconds later it is cut off: b falls silent and c is unreachable. Only a copy
    // that was moved back to a in time saves the caller from waiting for another prefill.
    const lastMs = 60 + 79 * 30;
    const fake: FakeDependencies = Fakes.createFakeDependencies((target, headers) => {
      const from = Simulation.createFromHeader(headers);
      if (target === 'b1') {
        return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 80, 30, 60)];
      }
      if (target !== 'a1') return [];
      const startMs = headers.from === '10.0.0.1:b1/h1' ? 60 : 1_500;
      const events = Fakes.createEvents(from, 120, 30, startMs);
      return [
        [50, Fakes.createHead(200)],
        ...events,
        [startMs + 30 * (121 - from), Simulation.END],
      ];
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
    const [result] = await Promise.all([Simulation.simulateStream(fake), zoneBack, zoneCut]);
    expect(result.text).toEqual(Simulation.formatAll(120));
    expect(result.maxGapMs).toBeLessThan(700);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['b1', 'a1']);
  });

  it('stays with its engine when the router resumes after a process pause', async () => {
    // Guards against a router that takes its own process pause for silence and moves all its
    // streams.
    const pauseMs = 2_000;
    const fake = Fakes.createFakeDependencies(() => {
      const before = Fakes.createEvents(1, 5, 30, 60);
      const after = Fakes.createEvents(6, 12, 30, 180 + pauseMs + 150);
      return [[50, Fakes.createHead(200)], ...before, ...after, [2_600, Simulation.END]];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const paused = fake.clock.waitMs(190).then(() => fake.clock.simulatePause(pauseMs));
    const [result] = await Promise.all([Simulation.simulateStream(fake), paused]);
    expect(result.text).toEqual(Simulation.formatAll(12));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1']);
  });

  it('does not move a prompt away from a live engine whose prefill is slow', async () => {
    // Two prompts are prefilled before this one, of which the engine's report showed one. The
    // engine responds to probes, so the stream stays there: moving it would cost a third prefill.
    const slow: Script = [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 3, 30, 2_500)];
    const fake: FakeDependencies = Fakes.createFakeDependencies(() => {
      fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 3, prefilling: 3 });
      return [...slow, [2_600, Simulation.END]];
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running: 1, prefilling: 1 });
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(3));
    expect(fake.sentCalls.length).toEqual(1);
  });

  it('continues from the copy within the pause objective when an engine becomes unreachable', async () => {
    // An engine falls silent after its fifth event, without closing its connections, and responds
    // to no probe. The caller sees one pause of less than 700 ms, and every event once.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Simulation.createRun(Simulation.createFromHeader(headers), 12);
      return target === 'a1' ? run.slice(0, 6) : run;
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
    const pending = Simulation.simulateStream(fake);
    await fake.clock.runFor(0);
    fake.reports.delete('a1');
    const result = await pending;
    expect(result.text).toEqual(Simulation.formatAll(12));
    expect(result.outcome?.kind).toEqual('complete');
    expect(result.maxGapMs).toBeLessThan(700);
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
    expect(fake.sentCalls[0]?.headers.backup).toEqual('10.0.0.1:b1');
    expect(fake.sentCalls[1]?.headers.from).toEqual('10.0.0.1:b1/r1');
    expect(fake.sentCalls[1]?.headers.last).toEqual('5');
    expect(fake.sentCalls[0]?.isCancelled).toEqual(true);
  });

  it('continues with retry quota borrowed from other routers', async () => {
    // 195 routers share the retry budget of a service, one or two retries each. A router that spent
    // its quota on an earlier crash has another stream interrupted. Without borrowing, its caller
    // gets a broken answer, although a copy exists and most of the other routers' quotas are
    // unused.
    const simulateBreak = async (peerQuotas: readonly (readonly [string, number])[]) => {
      const fake: FakeDependencies = Fakes.createFakeDependencies((target) =>
        target === 'a1'
          ? [...Simulation.createRun(1, 3).slice(0, -1), [200, BROKEN]]
          : Simulation.createRun(4, 6),
      );
      fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
      fake.reports.set('a1', Fakes.IDLE_REPORT);
      fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
      peerQuotas.forEach(([router, retries]) => fake.peerRetryQuota.set(router, retries));
      fake.dependencies.getBudget('engines').grantQuota(0, Number.POSITIVE_INFINITY);
      return { result: await Simulation.simulateStream(fake), lenders: fake.peerRetryQuota };
    };
    const withoutQuota = await simulateBreak([]);
    expect(withoutQuota.result.outcome?.kind).toEqual('broken');
    const borrowed = await simulateBreak([
      ['10.0.0.2:1', 0.1],
      ['10.0.0.3:1', 0.95],
      ['10.0.0.4:1', 0.9],
    ]);
    expect(borrowed.result.text).toEqual(Simulation.formatAll(6));
    expect(borrowed.lenders.get('10.0.0.4:1')).toEqual(0.9);
  });

  for (const reason of ['is leaving', 'accepts no more requests']) {
    it(`does not continue from a copy whose holder ${reason}`, async () => {
      // Guards against new work for a VM that is leaving, and against exceeding a target's rate
      // limit.
      const fake = Fakes.createFakeDependencies((target, headers) => {
        const run = Simulation.createRun(Simulation.createFromHeader(headers), 12);
        const broken: Script[number] = [200, { kind: 'broken', reason: 'ECONNRESET' }];
        return target === 'a1' ? [...run.slice(0, 4), broken] : run;
      });
      const running = Fakes.createTarget('a1');
      const copy = Fakes.createTarget('b1', { zone: 'b' });
      const other = Fakes.createTarget('b2', { zone: 'b' });
      fake.setTargets([running, copy]);
      for (const id of ['a1', 'b1', 'b2']) fake.reports.set(id, Fakes.IDLE_REPORT);
      const pending = Simulation.simulateStream(fake);
      await fake.clock.runFor(0);
      const isLeaving = reason === 'is leaving';
      if (!isLeaving) fake.rateLimited.add(copy.id);
      fake.setTargets([running, { ...copy, state: isLeaving ? 'draining' : 'ready' }, other]);
      const result = await pending;
      expect(result.text).toEqual(Simulation.formatAll(12));
      expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b2']);
      expect(fake.sentCalls[1]?.headers.from).toEqual(undefined);
    });
  }

  it('waits for an engine that prefills, and leaves one that has restarted', async () => {
    // Two engines are silent for seconds before their first event. One reports that it prefills a
    // prompt; sent elsewhere, the prompt would be prefilled twice. The other became unreachable,
    // restarted, and reports that it is idle; its old connection stays silent forever.
    const late = Simulation.createRun(1, 3).map(
      ([afterMs, event]) => [afterMs + 3_500, event] as const,
    );
    const busy = Fakes.createFakeDependencies(() => late);
    busy.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    busy.reports.set('a1', { ...Fakes.IDLE_REPORT, prefilling: 1, running: 1 });
    busy.reports.set('b1', { ...Fakes.IDLE_REPORT, prefilling: 4, running: 4 });
    expect((await Simulation.simulateStream(busy)).text).toEqual(Simulation.formatAll(3));
    expect(busy.sentCalls.length).toEqual(1);

    const restarted = Fakes.createFakeDependencies((target) =>
      target === 'a1' ? [] : Simulation.createRun(1, 3),
    );
    restarted.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    restarted.reports.set('a1', Fakes.IDLE_REPORT);
    restarted.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 2 });
    const result = await Simulation.simulateStream(restarted);
    expect(result.text).toEqual(Simulation.formatAll(3));
    expect(restarted.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
  });

  it('is refused at once when its first event would be late at all queried engines', async () => {
    // Engines are scarce, and each has four prompts to prefill. A fifth would begin after its
    // caller's timeout and slow other streams. So nothing is sent, and the caller is told when to
    // retry.
    const fake = Fakes.createFakeDependencies(() => Simulation.createRun(1, 3));
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    const busy = { ...Fakes.IDLE_REPORT, running: 6, prefilling: 1, queued: 3 };
    fake.reports.set('a1', busy);
    fake.reports.set('b1', busy);
    const { outcome } = await Simulation.simulateStream(fake);
    expect(outcome?.kind).toEqual('refused');
    expect(fake.sentCalls.length).toEqual(0);
  });

  it('ends at once when no target can continue', async () => {
    const fake = Fakes.createFakeDependencies(() => [
      [5, { kind: 'broken', reason: 'ECONNRESET' }],
    ]);
    fake.setTargets([]);
    const none = await Simulation.simulateStream(fake, 1_000);
    expect(none.outcome?.kind).toEqual('refused');
    fake.setTargets([Fakes.createTarget('a1')]);
    const lost = await Simulation.simulateStream(fake, 10_000);
    expect(lost.outcome?.kind).toEqual('failed');
    expect(fake.sentCalls.length).toEqual(5);
  });

  it('spends no retries on engines that refuse connections, and waits for their restart', async () => {
    // All engines crash together and refuse connections for a fifth of a second. If each refusal
    // cost a retry, the streams would use up the router's budget within milliseconds, and all would
    // break.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Simulation.createRun(Simulation.createFromHeader(headers), 12);
      if (fake.clock.getNowMs() < 100) return [...run.slice(0, 3), [150, BROKEN]];
      if (fake.clock.getNowMs() < 350) return [[2, { kind: 'broken', reason: 'ECONNREFUSED' }]];
      return run;
    });
    fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
    const before = fake.dependencies.getBudget('engines').getBalance(0);
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(12));
    const spent = before + 1 - fake.dependencies.getBudget('engines').getBalance(0);
    expect(spent).toBeLessThan(3);
  });

  it('does not end a framed answer at the end of an unframed response', async () => {
    // A stream continues on an engine whose response has no length and ends early, with its
    // connection. If the caller's answer ended there, it would look complete.
    const fake = Fakes.createFakeDependencies((target, headers) => {
      const run = Simulation.createRun(Simulation.createFromHeader(headers), 12);
      const broken: Script[number] = [200, { kind: 'broken', reason: 'ECONNRESET' }];
      if (target === 'a1') return [...run.slice(0, 4), broken];
      if (target === 'c1') return run;
      const head = { status: 200, statusMessage: '', headers: { id: 'r1', signature: 's' } };
      return [[50, { kind: 'head', head }], ...run.slice(1, 4), [250, Simulation.END]];
    });
    fake.setTargets([
      Fakes.createTarget('a1'),
      Fakes.createTarget('b1', { zone: 'b' }),
      Fakes.createTarget('c1', { zone: 'c' }),
    ]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.reports.set('b1', Fakes.IDLE_REPORT);
    fake.reports.set('c1', { ...Fakes.IDLE_REPORT, running: 5 });
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(12));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1', 'c1']);
  });

  it('goes on, unprobed, at an engine that has asked for rest meanwhile', async () => {
    // Guards against probes that an engine has asked not to get, and against the loss of its streams.
    const fake = Fakes.createFakeDependencies(() => [
      [50, Fakes.createHead(200)],
      ...Fakes.createEvents(1, 12, 30, 2_300),
      [2_700, Simulation.END],
    ]);
    fake.setTargets([Fakes.createTarget('a1')]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    const resting = fake.clock.waitMs(100).then(() => {
      fake.restsUntilMs.set('a1', 30_000);
      fake.reports.delete('a1');
    });
    const [result] = await Promise.all([Simulation.simulateStream(fake), resting]);
    expect(result.text).toEqual(Simulation.formatAll(12));
    expect(fake.sentCalls.length).toEqual(1);
  });

  it('starts on an engine that takes requests while others rest', async () => {
    const fake = Fakes.createFakeDependencies(() => Simulation.createRun(1, 6));
    const engines = ['a1', 'b1', 'c1'].map((id) => Fakes.createTarget(id));
    fake.setTargets(engines);
    engines.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
    ['a1', 'b1'].forEach((id) => fake.restsUntilMs.set(id, 30_000));
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(6));
    expect(fake.sentCalls.map(({ target }) => target)).toEqual(['c1']);
  });

  it('waits for an engine whose rest is short and is refused at once otherwise', async () => {
    const fake = Fakes.createFakeDependencies(() => Simulation.createRun(1, 6));
    fake.setTargets([Fakes.createTarget('a1')]);
    fake.reports.set('a1', Fakes.IDLE_REPORT);
    fake.restsUntilMs.set('a1', 30_000);
    const refused = await Simulation.simulateStream(fake, 1);
    expect(refused.outcome?.kind).toEqual('refused');
    fake.restsUntilMs.set('a1', fake.clock.getNowMs() + 900);
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(6));
  });
});
