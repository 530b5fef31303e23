import { describe, it } from 'node:test';

import * as Standins from '@sequoiarill/standins';
import type { QueueingRun } from '@sequoiarill/standins';
import { expect } from 'earl';

import * as Checks from '../checks';
import type { Attempt, AttemptOutcome, RouterFault } from '../records';

const EVENTS = 4;
const PATIENCE_MS = 6_000;

interface Evidence {
  readonly attempts: readonly Attempt[];
  readonly runs?: readonly QueueingRun[];
  readonly faults?: readonly RouterFault[];
}

function createAnswer(overrides: Partial<Extract<AttemptOutcome, { kind: 'answer' }>> = {}) {
  const text = Standins.formatEvents('a', 1, EVENTS);
  const answer = { kind: 'answer', status: 200, retryAfterMs: undefined, text } as const;
  return { ...answer, isComplete: true, ...overrides };
}

function createAttempt(overrides: Partial<Attempt> = {}): Attempt {
  return {
    id: 'a',
    router: 0,
    incarnation: 1,
    sentAtMs: 0,
    fromEvent: 1,
    firstEventAtMs: 100,
    endedAtMs: 1_000,
    hasCallerLeft: false,
    outcome: createAnswer(),
    ...overrides,
  };
}

function createRun(startedAtMs: number, endedAtMs: number): QueueingRun {
  return {
    requestId: 'a',
    path: '/urgent/x',
    organisation: 'large',
    rank: 5,
    promptTokens: 100,
    startedAtMs,
    firstEventAtMs: undefined,
    endedAtMs,
    end: 'whole',
  };
}

function createFault(overrides: Partial<RouterFault>): RouterFault {
  return { kind: 'kill', router: 0, incarnation: 1, fromMs: 0, untilMs: 3_000, ...overrides };
}

function listRules({ attempts, runs = [], faults = [] }: Evidence): readonly string[] {
  const records = {
    callers: [{ route: 0, organisation: 0, arrivedAtMs: 0, attempts }],
    engines: [{ runs, rejected: [], reportReads: 0 }],
    faults,
    eventCount: EVENTS,
  };
  return [...Checks.checkRecords(records, { patienceMs: PATIENCE_MS })].map(({ rule }) => rule);
}

describe('the checks of the contention bench', () => {
  it('report nothing where every guarantee holds', () => {
    // Failure: a check that always reports makes every run of the bench fail.
    expect(listRules({ attempts: [createAttempt()], runs: [createRun(50, 990)] })).toEqual([]);
    const refused = createAttempt({ outcome: createAnswer({ status: 503, text: '' }) });
    expect(listRules({ attempts: [refused] })).toEqual([]);
  });

  it('report a request that ran although it was refused, before the refusal or later', () => {
    // Failure: a refused request waits at an engine and runs after its caller was told otherwise.
    for (const status of [429, 503]) {
      const attempts = [createAttempt({ outcome: createAnswer({ status, text: '' }) })];
      expect(listRules({ attempts, runs: [createRun(50, 90)] })).toEqual(['notRun']);
      expect(listRules({ attempts, runs: [createRun(1_100, 1_200)] })).toEqual(['notRun']);
    }
  });

  it('report two runs of one request at the same time, but not one after the other', () => {
    // Failure: a router sends a stream to a second engine and leaves the first one running.
    const attempts = [createAttempt()];
    expect(listRules({ attempts, runs: [createRun(0, 500), createRun(400, 900)] })).toEqual([
      'twice',
    ]);
    expect(listRules({ attempts, runs: [createRun(0, 900), createRun(100, 200)] })).toEqual([
      'twice',
    ]);
    expect(listRules({ attempts, runs: [createRun(0, 500), createRun(505, 900)] })).toEqual([]);
  });

  it('report missing and repeated events, in whole answers and in broken ones', () => {
    // Failure: events are lost or doubled where a stream moves to another engine.
    const [first = '', second = ''] = [1, 2].map((number) => Standins.formatEvent('a', number));
    const texts = [first, `${first}${first}${second}`, `${first}${Standins.formatEvent('a', 3)}`];
    for (const text of texts) {
      const attempts = [createAttempt({ outcome: createAnswer({ text }) })];
      expect(listRules({ attempts })).toEqual(['events']);
    }
    const outcome = createAnswer({ text: second, isComplete: false });
    const broken = createAttempt({ outcome, endedAtMs: PATIENCE_MS, hasCallerLeft: true });
    expect(listRules({ attempts: [broken] })).toEqual(['events']);
    expect(listRules({ attempts: [{ ...broken, fromEvent: 2 }] })).toEqual([]);
  });

  it('report an answered stream that was cut, unless its router was killed or its time was up', () => {
    // Failure: a stream ends for lack of a retry after its caller has received events.
    const text = Standins.formatEvent('a', 1);
    const cut = createAttempt({ outcome: createAnswer({ text, isComplete: false }) });
    expect(listRules({ attempts: [cut] })).toEqual(['cut']);
    expect(listRules({ attempts: [{ ...cut, endedAtMs: PATIENCE_MS }] })).toEqual([]);
    expect(listRules({ attempts: [cut], faults: [createFault({})] })).toEqual([]);
    for (const fault of [
      createFault({ kind: 'terminate', exitCode: 0 }),
      createFault({ kind: 'pause' }),
      createFault({ incarnation: 2 }),
    ]) {
      expect(listRules({ attempts: [cut], faults: [fault] })).toEqual(['cut']);
    }
  });

  it('report what runs half a second after its caller left, later only at a paused router', () => {
    // Failure: engines spend slots on answers that nobody reads.
    const left = createAttempt({ hasCallerLeft: true, outcome: { kind: 'noAnswer', code: 'A' } });
    const attempts = [left];
    expect(listRules({ attempts, runs: [createRun(50, 1_400)] })).toEqual([]);
    expect(listRules({ attempts, runs: [createRun(50, 1_600)] })).toEqual(['abandoned']);
    const running = [{ ...createRun(50, 0), endedAtMs: undefined }];
    expect(listRules({ attempts, runs: running })).toEqual(['abandoned']);
    const faults = [createFault({ kind: 'pause' })];
    expect(listRules({ attempts, faults, runs: [createRun(50, 3_400)] })).toEqual([]);
    expect(listRules({ attempts, faults, runs: [createRun(50, 3_600)] })).toEqual(['abandoned']);
  });

  it('report a request without an answer, unless its router was killed or had stopped listening', () => {
    // Failure: a router that stops in a planned way loses the requests that wait in it.
    const lost = createAttempt({ outcome: { kind: 'noAnswer', code: 'ECONNRESET' } });
    const refused = createAttempt({ outcome: { kind: 'noAnswer', code: 'ECONNREFUSED' } });
    const faults = [createFault({ kind: 'terminate', exitCode: 0 })];
    expect(listRules({ attempts: [lost] })).toEqual(['lost']);
    expect(listRules({ attempts: [lost], faults })).toEqual(['lost']);
    expect(listRules({ attempts: [refused], faults })).toEqual([]);
    expect(listRules({ attempts: [lost], faults: [createFault({})] })).toEqual([]);
  });

  it('report a router that does not end cleanly after SIGTERM', () => {
    // Failure: a router hangs or crashes while it stops.
    const faults = [createFault({ kind: 'terminate', exitCode: 1 })];
    expect(listRules({ attempts: [], faults })).toEqual(['exit']);
  });
});
