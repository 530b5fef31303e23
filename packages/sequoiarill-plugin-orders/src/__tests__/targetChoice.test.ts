import { describe, it } from 'node:test';

import type { ServiceTarget } from '@sequoiarill/types';
import { expect } from 'earl';

import * as TargetChoice from '../targetChoice';

const TARGETS: readonly ServiceTarget[] = ['a', 'b', 'c'].map((name) => ({
  kind: 'service',
  name,
  vm: name,
  zone: 'z1',
  address: '127.0.0.1:1',
  vmState: 'live',
  service: 'stock',
}));
const NO_TRIED_TARGETS: ReadonlySet<string> = new Set();

describe('choice of a service target', () => {
  it('spreads a steady load evenly', () => {
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const counts = new Map<string, number>();
    for (let order = 0; order < 300; order += 1) {
      const name = chooser.chooseTarget(TARGETS, NO_TRIED_TARGETS, 0)?.name ?? '';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts).toEqual(new Map([...counts.keys()].map((name) => [name, 100])));
  });

  it('sends a hanging target only its first order', () => {
    // One of three targets hangs under a steady load of single orders. With plain round-robin,
    // every third caller would wait for it; with the fewest in-flight orders, only the first one
    // does.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    let hangingTargetOrders = 0;
    for (let order = 0; order < 300; order += 1) {
      const name = chooser.chooseTarget(TARGETS, NO_TRIED_TARGETS, 0)?.name ?? '';
      chooser.addInFlight(name);
      if (name === 'b') hangingTargetOrders += 1;
      else chooser.removeInFlight(name);
    }
    expect(hangingTargetOrders).toEqual(1);
  });

  it('returns no target when every target is at its in-flight limit', () => {
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 2, passOverMs: 2_000 });
    for (let order = 0; order < 6; order += 1) {
      chooser.addInFlight(chooser.chooseTarget(TARGETS, NO_TRIED_TARGETS, 0)?.name ?? '');
    }
    expect(chooser.chooseTarget(TARGETS, NO_TRIED_TARGETS, 0)).toEqual(undefined);
  });

  it('probes a dead target with a single order', () => {
    // A dead target looks idle and would attract every order. After its backoff, one order probes
    // it, and a burst of orders at that moment must not be sent to it as well.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const triedTargets = new Set(['b', 'c']);
    chooser.markConnectionFailed('a', 0);
    expect(chooser.chooseTarget(TARGETS, triedTargets, 1_999)).toEqual(undefined);
    expect(chooser.chooseTarget(TARGETS, triedTargets, 2_000)?.name).toEqual('a');
    chooser.addInFlight('a');
    expect(chooser.chooseTarget(TARGETS, triedTargets, 2_000)).toEqual(undefined);
    chooser.recordAnswer('a');
    expect(chooser.chooseTarget(TARGETS, triedTargets, 2_000)?.name).toEqual('a');
  });

  it('probes a target that stays dead at increasing intervals', () => {
    // A zone is cut off for ten minutes. Each order that probes a target there waits for the
    // connect timeout; with a probe every two seconds, 300 callers would. A burst of failures
    // counts once.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const triedTargets = new Set(['b', 'c']);
    let probeCount = 0;
    for (let nowMs = 0; nowMs < 600_000; nowMs += 100) {
      if (chooser.chooseTarget(TARGETS, triedTargets, nowMs) !== undefined) {
        probeCount += 1;
        chooser.markConnectionFailed('a', nowMs);
        chooser.markConnectionFailed('a', nowMs);
      }
    }
    expect(probeCount).toEqual(22);
    chooser.recordAnswer('a');
    expect(chooser.chooseTarget(TARGETS, triedTargets, 600_000)?.name).toEqual('a');
  });
});
