import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AnsweredRequests from '../answeredRequests';
import * as RequestLogs from '../requestLog';
import type { CallerResult, ComponentFault, SentRequest } from '../requestLog';

const NO_ANSWER = { kind: 'noAnswer' } as const;
const STOP = { component: 'router 0', fromMs: 9_000, untilMs: 13_500, isPlanned: true };

function createAnswer(status: number, isComplete: boolean): CallerResult {
  return { kind: 'answer', status, text: '', isComplete, isSigned: true };
}

interface Ended {
  readonly result: CallerResult;
  readonly endedAtMs?: number;
  readonly hasCallerLeft?: boolean;
  readonly isSlow?: boolean;
  readonly hasRun?: boolean;
  readonly faults?: readonly ComponentFault[];
}

/** One stream, sent at 9.5 s to router 0. */
function checkOne({ result, endedAtMs = 10_500, hasRun = true, isSlow = false, ...rest }: Ended) {
  const requestLog = RequestLogs.createRequestLog();
  const request: SentRequest = {
    id: 's1',
    kind: 'stream',
    organisation: 'shop',
    priority: 0,
    isSlow,
    router: 0,
    incarnation: 1,
    sentAtMs: 9_500,
    body: 'b',
    fromEvent: 1,
  };
  requestLog.requests.set('s1', request);
  requestLog.results.set('s1', result);
  requestLog.ends.set('s1', { atMs: endedAtMs, hasCallerLeft: rest.hasCallerLeft ?? false });
  requestLog.faults.push(...(rest.faults ?? []));
  const run = { requestId: 's1', path: '/x', organisation: 'shop', hasApiKey: false };
  const runs = hasRun ? [{ ...run, startedAtMs: 9_500 }] : [];
  const incarnations = [{ target: 'engines-0-life-1', runs }];
  const evidence = { requestLog, incarnations, eventCount: 12, organisation: 'shop' };
  const { violations, counts } = AnsweredRequests.checkAnswered(evidence, new Map());
  return [violations.length, counts.stopped];
}

describe('the check of requests without an answer', () => {
  it('reports those that were passed on or read, and answers that are closed', () => {
    const broken = createAnswer(200, false);
    const seen = [
      checkOne({ result: NO_ANSWER }),
      checkOne({ result: NO_ANSWER, hasRun: false }),
      checkOne({ result: NO_ANSWER, endedAtMs: 9_600 }),
      checkOne({ result: broken }),
      checkOne({ result: broken, faults: [STOP] }),
      checkOne({ result: NO_ANSWER, endedAtMs: 12_800, faults: [STOP] }),
    ];
    expect(seen).toEqual(seen.map(() => [1, 0]));
  });

  it('allows statuses, refused connections, crossed closes, and ends by the caller or the time limit', () => {
    const seen = [
      checkOne({ result: createAnswer(200, true) }),
      checkOne({ result: createAnswer(504, true) }),
      checkOne({ result: { ...NO_ANSWER, wasRefused: true }, hasRun: false }),
      checkOne({ result: NO_ANSWER, hasRun: false, endedAtMs: 9_600 }),
      checkOne({ result: NO_ANSWER, hasRun: false, isSlow: true }),
      checkOne({ result: NO_ANSWER, hasCallerLeft: true }),
      checkOne({ result: NO_ANSWER, endedAtMs: 17_400 }),
    ];
    expect(seen).toEqual(seen.map(() => [0, 0]));
  });

  it('allows unplanned faults of the router and the targets only', () => {
    const touch = (component: string) => ({ component, fromMs: 9_700, untilMs: 9_900 });
    for (const component of ['router 0', 'target 0', 'engines-0-life-1']) {
      const faults = [touch(component)];
      expect(checkOne({ result: NO_ANSWER, faults })).toEqual([0, 0]);
    }
    const elsewhere = ['router 1', 'target 1'].map(touch);
    const planned = { ...touch('router 0'), isPlanned: true };
    expect(checkOne({ result: NO_ANSWER, faults: [...elsewhere, planned] })).toEqual([1, 0]);
  });

  it('counts answers apart that a planned stop broke off at the end of its grace period', () => {
    const broken = createAnswer(200, false);
    expect(checkOne({ result: broken, endedAtMs: 12_800, faults: [STOP] })).toEqual([0, 1]);
  });
});
