import { describe, it } from 'node:test';

import * as Standins from '@sequoiarill/standins';
import type { TargetRun } from '@sequoiarill/standins';
import { expect } from 'earl';

import * as Checks from '../checks';
import * as Ledgers from '../ledger';
import type { CallerView, Ledger, Probe, SentRequest } from '../ledger';
import * as Schedules from '../schedule';

const EVENTS = 12;

function createRun(requestId: string, change: Partial<TargetRun> = {}): TargetRun {
  const run = { requestId, path: '/x', organisation: 'shop', hasApiKey: false, startedAtMs: 0 };
  return { ...run, ...change };
}

function addRequest(
  ledger: Ledger,
  change: Partial<SentRequest> & { readonly id: string },
  view: Partial<Extract<CallerView, { kind: 'answer' }>>,
): void {
  const request = { kind: 'order' as const, router: 0, body: 'b', fromEvent: 1, ...change };
  ledger.requests.set(request.id, request);
  const answer = { kind: 'answer' as const, status: 200, text: '', isWhole: true, isSigned: true };
  ledger.views.set(request.id, { ...answer, ...view });
}

function createProbe(change: Partial<Probe>): Probe {
  const probe = { router: 0, life: 1, atMs: 0, version: 1, writtenAtMs: 0, isNewest: true };
  return { ...probe, status: 200, ...change };
}

function listRules(ledger: Ledger, runs: readonly TargetRun[] = []): readonly string[] {
  const lives = [{ target: 't1', runs }];
  const evidence = { ledger, lives, eventCount: EVENTS, organisation: 'shop' };
  return Checks.checkEvidence(evidence).map(({ rule }) => rule);
}

describe('the checks of a soak', () => {
  it('find nothing where everything is kept', () => {
    const ledger = Ledgers.createLedger();
    addRequest(ledger, { id: 'o1' }, { text: 'o1 got b' });
    addRequest(ledger, { id: 's1', kind: 'stream' }, { text: Standins.formatEvents('s1') });
    addRequest(ledger, { id: 's2', kind: 'stream' }, { text: 'id: 1\nda', isWhole: false });
    ledger.probes.push(createProbe({}), createProbe({ version: 2, atMs: 5 }));
    expect(listRules(ledger, [createRun('o1'), createRun('s1'), createRun('s1')])).toEqual([]);
  });

  it('find an order that ran twice, or ran although it was refused', () => {
    const ledger = Ledgers.createLedger();
    addRequest(ledger, { id: 'o1' }, { text: 'o1 got b' });
    addRequest(ledger, { id: 'o2' }, { status: 503 });
    const runs = [createRun('o1'), createRun('o1'), createRun('o2')];
    expect(listRules(ledger, runs)).toEqual(['atMostOnce', 'notRun']);
  });

  it('find an event that is missing or comes twice, and another request’s answer', () => {
    const ledger = Ledgers.createLedger();
    const [first, second] = [1, 2].map((number) => Standins.formatEvent('s1', number));
    const rest = Standins.formatEvents('s1', 2);
    addRequest(ledger, { id: 's1', kind: 'stream' }, { text: `${first}${second}${rest}` });
    addRequest(ledger, { id: 's2', kind: 'stream' }, { text: 'id: 2\n', isWhole: false });
    addRequest(ledger, { id: 'o1' }, { text: 'o9 got b' });
    expect(listRules(ledger, [createRun('o1')])).toEqual(['events', 'events', 'whole']);
  });

  it('find runs that nobody asked for, or in another organisation’s name', () => {
    const ledger = Ledgers.createLedger();
    const change = { organisation: 'other', hasApiKey: true };
    expect(listRules(ledger, [createRun('x1'), createRun('probe-1', change)])).toEqual([
      'unasked',
      'unasked',
      'unasked',
    ]);
  });

  it('find a configuration that goes back, or is not in force in time', () => {
    const ledger = Ledgers.createLedger();
    ledger.probes.push(
      createProbe({ version: 2, status: 200, atMs: 100 }),
      createProbe({ version: 1, status: 200, atMs: 200, isNewest: false }),
      createProbe({ version: 2, status: 404, atMs: 300 }),
      createProbe({ version: 3, status: 401, atMs: 9_000, writtenAtMs: 5_000 }),
    );
    expect(listRules(ledger)).toEqual(['reverts', 'reverts', 'inForce']);
  });

  it('hold no bound for a router that was disturbed', () => {
    const ledger = Ledgers.createLedger();
    ledger.probes.push(createProbe({ version: 3, status: 404, atMs: 9_000, writtenAtMs: 6_000 }));
    ledger.disturbances.push({ router: 0, fromMs: 1_000, untilMs: 3_500 });
    expect(listRules(ledger)).toEqual([]);
  });

  it('find new work for a target that leaves', () => {
    const ledger = Ledgers.createLedger();
    addRequest(ledger, { id: 'o1' }, { text: 'o1 got b' });
    ledger.leavings.push({ target: 't1', writtenAtMs: 1_000 });
    expect(listRules(ledger, [createRun('o1', { startedAtMs: 4_500 })])).toEqual(['leaving']);
  });
});

describe('the schedule of a soak', () => {
  it('follows from its seed', () => {
    const size = { routers: 3, targets: 7 };
    const schedule = Schedules.createSchedule(7, 20_000, size);
    expect(Schedules.createSchedule(7, 20_000, size)).toEqual(schedule);
    expect(Schedules.createSchedule(8, 20_000, size)).not.toEqual(schedule);
    expect(schedule.length).toBeGreaterThan(20);
    expect(schedule.every(({ atMs }) => atMs < 20_000)).toEqual(true);
  });
});
