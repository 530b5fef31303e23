import { describe, it } from 'node:test';

import type { EngineTarget, TargetHealth, TargetReport } from '@sequoiarill/types';
import { expect } from 'earl';

import type { Attempt } from '../generation';
import * as Targets from '../targets';
import * as FakeEngines from './fakeEngines';

const SLOTS = 10;

function createEngine(index: number): EngineTarget {
  return {
    kind: 'engine',
    name: `engine-${index}`,
    vm: `vm-${index}`,
    zone: 'z1',
    address: `127.0.0.1:${9000 + index}`,
    vmState: 'live',
    models: ['fit'],
    slots: SLOTS,
    checksFencing: true,
  };
}

function createFixture() {
  const engines = [0, 1, 2].map(createEngine);
  const health = new Map<string, TargetHealth>();
  const inFlight = new Map<string, number>();
  const reports: TargetReport[] = [];
  let nowMs = 0;
  const targets = Targets.createTargets({
    routerName: 'router-1',
    zone: 'z1',
    serving: { listSelected: () => engines, listAll: () => engines, setRouters: () => undefined },
    getInFlight: (target) => inFlight.get(target) ?? 0,
    membership: {
      getTargetHealth: (target) => health.get(target),
      reportTarget: (report) => reports.push(report),
    },
    nextRandom: () => 0.5,
    getNowMs: () => nowMs,
  });
  const createAttempt = (index: number): Attempt => ({
    request: FakeEngines.createRequest(),
    model: FakeEngines.model,
    target: engines[index]!,
    generation: 1,
    maxTokens: 10,
  });
  const addElapsedMs = (ms: number) => {
    nowMs += ms;
  };
  return { targets, health, inFlight, reports, order: createAttempt, passMs: addElapsedMs };
}

describe('targets', () => {
  it('exclude a lost engine from the capacity until its cooldown has passed', () => {
    // If the limit stays the same when a third of the engines is lost, every continued stream meets a
    // full engine. So the capacity falls with the first loss. Two seconds later the engine is tried
    // again, although this router's own `dead` report has not expired at its peers yet.
    const { targets, health, order, passMs, reports } = createFixture();
    targets.recordFailure(order(0));
    health.set('engine-0', { target: 'engine-0', state: 'dead', observer: 'router-1', ageMs: 0 });
    expect(targets.getCapacity(FakeEngines.model).slots).toEqual(2 * SLOTS);
    passMs(2_000);
    expect(targets.getCapacity(FakeEngines.model).slots).toEqual(3 * SLOTS);
    targets.recordFirstToken(order(0), 20);
    expect(reports.map(({ state }) => state)).toEqual(['dead', 'healthy']);
  });

  it("accept a peer's report that an engine is dead", () => {
    // Without the report of the one router that saw the failure, each other router would lose a stream.
    const { targets, health } = createFixture();
    health.set('engine-1', { target: 'engine-1', state: 'dead', observer: 'router-2', ageMs: 300 });
    expect(targets.getCapacity(FakeEngines.model).slots).toEqual(2 * SLOTS);
  });

  it('include the load that other routers of the zone report in the busy share', () => {
    // Two routers that share three engines and count only their own half admit twice the capacity.
    const { targets, health, inFlight } = createFixture();
    inFlight.set('engine-2', 3);
    const seen = { state: 'healthy', observer: 'router-2', ageMs: 100 } as const;
    health.set('engine-2', { ...seen, target: 'engine-2', running: 9, waiting: 0 });
    const { busyShare } = targets.getCapacity(FakeEngines.model);
    expect(busyShare).toEqual(9 / (3 * SLOTS));
  });
});
