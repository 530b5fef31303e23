import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { Evidence } from '../checks';
import * as EarlyEnds from '../earlyEnds';
import * as RequestLogs from '../requestLog';
import type { CallerResult, ComponentFault } from '../requestLog';

const SILENCE = { service: 'engines', fromMs: 10_000, untilMs: 11_000 } as const;
const CLOSED = { status: 200, isComplete: false };
const LINES = [{ name: 'stream.placed', request: 's1', target: 'engines-1-life-2' }];

function createFault(component: string, fromMs: number): ComponentFault {
  return { component, fromMs, untilMs: fromMs + 500 };
}

/** One stream that is sent at 9.5 s and ran at engine 0. */
function createEvidence(
  result: Partial<Extract<CallerResult, { kind: 'answer' }>>,
  { endedAtMs = 10_900, hasCallerLeft = false } = {},
): Evidence {
  const requestLog = RequestLogs.createRequestLog();
  const sending = { router: 0, incarnation: 1, sentAtMs: 9_500, organisation: 'shop' };
  const stream = { id: 's1', kind: 'stream', priority: 0, isSlow: false } as const;
  requestLog.requests.set('s1', { ...sending, ...stream, body: 'b', fromEvent: 1 });
  const answer = {
    kind: 'answer',
    text: '',
    isSigned: true,
    isComplete: true,
    status: 200,
  } as const;
  requestLog.results.set('s1', { ...answer, ...result });
  requestLog.ends.set('s1', { atMs: endedAtMs, hasCallerLeft });
  requestLog.silences.push(SILENCE);
  const run = { requestId: 's1', path: '/x', organisation: 'shop', hasApiKey: false };
  const incarnations = [
    { target: 'engines-0-life-1', runs: [{ ...run, startedAtMs: 9_500 }] },
    { target: 'engines-1-life-2', runs: [] },
  ];
  return { requestLog, incarnations, eventCount: 12, organisation: 'shop' };
}

function listRules(
  evidence: Evidence,
  lines: Parameters<typeof EarlyEnds.createTraces>[0] = LINES,
) {
  const { violations } = EarlyEnds.checkEarlyEnds(evidence, EarlyEnds.createTraces(lines));
  return violations.map(({ rule }) => rule);
}

describe('the check of early ends', () => {
  it('reports what is closed or fails while targets are silent', () => {
    expect(listRules(createEvidence(CLOSED))).toEqual(['endedEarly']);
    expect(listRules(createEvidence({ status: 502 }))).toEqual(['endedEarly']);
    expect(listRules(createEvidence({ status: 504 }))).toEqual(['endedEarly']);
  });

  it('allows whole answers, refusals, and ends at the time limit or by the caller', () => {
    const atLimit = createEvidence({ status: 504 }, { endedAtMs: 17_400 });
    const abandoned = createEvidence(CLOSED, { hasCallerLeft: true });
    const evidence = [createEvidence({}), createEvidence({ status: 503 }), atLimit, abandoned];
    expect(evidence.map((one) => listRules(one))).toEqual([[], [], [], []]);
    const { counts } = EarlyEnds.checkEarlyEnds(createEvidence({}), new Map());
    expect(counts).toEqual({ silent: 1, silentWhole: 1 });
  });

  it('leaves out requests outside of a silence, or with another fault of their targets or router', () => {
    // Failure: faults that overlap with a silence, and may end a request, are reported as silences.
    const early = createEvidence(CLOSED, { endedAtMs: 9_900 });
    expect(listRules(early)).toEqual([]);
    for (const component of ['target 0', 'engines-0-life-1', 'target 1', 'router 0']) {
      const touched = createEvidence(CLOSED);
      touched.requestLog.faults.push(createFault(component, 10_000));
      expect([component, ...listRules(touched)]).toEqual([component]);
    }
  });

  it('leaves out requests that were lost at the cut link of another router', () => {
    // Guards against a cut that the check does not see, because routers also use links learned from others.
    const [cut, other] = ['127.0.0.1:4001', '127.0.0.1:4002'];
    const evidence = createEvidence({ status: 502 });
    evidence.requestLog.faults.push(createFault(cut, 10_000));
    const createLines = (address: string) => [{ name: 'target.lost', request: 's1', address }];
    expect(listRules(evidence, createLines(cut))).toEqual([]);
    expect(listRules(evidence, createLines(other))).toEqual(['endedEarly']);
  });

  it('reports requests where other faults were elsewhere or long before', () => {
    // Failure: the check finds nothing, because in a soak some fault is always present.
    const evidence = createEvidence(CLOSED);
    const faults = [createFault('target 2', 10_000), createFault('router 1', 10_000)];
    evidence.requestLog.faults.push(...faults, createFault('target 0', 5_000));
    expect(listRules(evidence)).toEqual(['endedEarly']);
    const relayed = [{ name: 'request.relayed', request: 's1' }];
    expect(listRules(evidence, relayed)).toEqual([]);
  });

  it('allows an end at a shorter limit of the route while a configuration may have it', () => {
    // Failure: requests that end at a limit which a change has shortened are reported as closed by a silence.
    const changes = [
      { change: 'limitsShorter', fromMs: 9_000, untilMs: 9_200 },
      { change: 'routesRemoved', fromMs: 9_000, untilMs: 9_200 },
      { change: 'limitsShorter', fromMs: 1_000, untilMs: 3_000 },
    ] as const;
    const seen = changes.map((change) => {
      const evidence = createEvidence({ status: 504 }, { endedAtMs: 12_400 });
      evidence.requestLog.changes.push(change);
      return listRules(evidence);
    });
    expect(seen).toEqual([[], ['endedEarly'], ['endedEarly']]);
  });
});
