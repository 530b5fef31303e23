import { describe, it } from 'node:test';

import type { EndlessFlow } from '@sequoiarill/standins';
import { expect } from 'earl';

import type { Evidence } from '../checks';
import * as Floods from '../floods';
import * as RequestLogs from '../requestLog';
import type { CallerResult, RequestKind } from '../requestLog';

const FLOOD = { component: 'engines-0-life-1', fromMs: 10_000, untilMs: 14_000 };
const ANSWER = { kind: 'answer', status: 200, text: '', isComplete: true, isSigned: true } as const;
const FAILED: CallerResult = { ...ANSWER, status: 504 };
const FLOW = {
  form: 'event',
  scope: 'requests',
  requestId: 'r0',
  startedAtMs: 10_100,
  endedAtMs: 12_000,
  bytes: 1,
} as const;

/** Requests sent at 10.1 s that ended at 11 s; all ran at engine 1. */
function createEvidence(results: readonly CallerResult[], kind: RequestKind = 'read'): Evidence {
  const requestLog = RequestLogs.createRequestLog();
  const sending = { router: 0, incarnation: 1, sentAtMs: 10_100, organisation: 'shop' };
  results.forEach((result, index) => {
    const id = `r${index}`;
    const content = { id, kind, priority: 0, isSlow: false, body: 'b', fromEvent: 1 };
    requestLog.requests.set(id, { ...sending, ...content });
    requestLog.results.set(id, result);
    requestLog.ends.set(id, { atMs: 11_000, hasCallerLeft: false });
  });
  requestLog.faults.push(FLOOD);
  requestLog.floods.push(FLOOD);
  const run = { path: '/x', organisation: 'shop', hasApiKey: false, startedAtMs: 10_100 };
  const runs = results.map((_result, index) => ({ ...run, requestId: `r${index}` }));
  const incarnations = [{ target: 'engines-1-life-1', runs }];
  return { requestLog, incarnations, eventCount: 12, organisation: 'shop' };
}

function listRules(evidence: Evidence, flows: readonly EndlessFlow[]): readonly string[] {
  return Floods.checkFloods(evidence, new Map(), flows).violations.map(({ rule }) => rule);
}

describe('the check of answers without end', () => {
  it('reports a flow that lasts too long, and one that is open at the end', () => {
    expect(listRules(createEvidence([ANSWER]), [FLOW])).toEqual([]);
    const long = { ...FLOW, endedAtMs: 20_200 };
    expect(listRules(createEvidence([ANSWER]), [long])).toEqual(['flowCut']);
    const open = { ...FLOW, startedAtMs: performance.now(), endedAtMs: undefined };
    expect(listRules(createEvidence([ANSWER]), [open])).toEqual(['flowClosed']);
  });

  it('allows a long flow while a fault touches its router', () => {
    // Failure: a router that was paused or killed is blamed for flows that it could not cut.
    const evidence = createEvidence([ANSWER]);
    evidence.requestLog.faults.push({ component: 'router 0', fromMs: 10_500, untilMs: 10_900 });
    expect(listRules(evidence, [{ ...FLOW, endedAtMs: 20_200 }])).toEqual([]);
  });

  it('reports requests that failed beside a flow, and not those that were refused', () => {
    expect(listRules(createEvidence([FAILED]), [])).toEqual(['floodBeside']);
    expect(listRules(createEvidence([{ kind: 'noAnswer' }]), [])).toEqual(['floodBeside']);
    expect(listRules(createEvidence([{ ...ANSWER, isComplete: false }]), [])).toEqual([
      'floodBeside',
    ]);
    expect(listRules(createEvidence([{ ...ANSWER, status: 503 }]), [])).toEqual([]);
  });

  it('reports more than one in twenty failures of those that met a flow, orders left out', () => {
    const flows = [FLOW, { ...FLOW, requestId: 'r1' }, { ...FLOW, requestId: 'r2' }];
    expect(listRules(createEvidence([FAILED, ANSWER, ANSWER]), flows)).toEqual([]);
    expect(listRules(createEvidence([FAILED, FAILED, ANSWER]), flows)).toEqual(['floodServed']);
    expect(listRules(createEvidence([FAILED, FAILED, ANSWER], 'order'), flows)).toEqual([]);
    expect(listRules(createEvidence([{ kind: 'noAnswer' }], 'order'), flows)).toEqual([
      'floodAnswer',
    ]);
  });
});
