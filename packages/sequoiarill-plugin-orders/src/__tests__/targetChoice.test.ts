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
const NONE: ReadonlySet<string> = new Set();

describe('choice of a service target', () => {
  it('spreads a steady load evenly', () => {
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const counts = new Map<string, number>();
    for (let order = 0; order < 300; order += 1) {
      const name = chooser.chooseTarget(TARGETS, NONE, 0)?.name ?? '';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts).toEqual(new Map([...counts.keys()].map((name) => [name, 100])));
  });

  it('sends a slow target no more than it finishes', () => {
    // One server of three hangs under a steady load of single orders. Taken in turn, every third
    // caller would wait for it; by orders in flight only the first one does.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    let slow = 0;
    for (let order = 0; order < 300; order += 1) {
      const name = chooser.chooseTarget(TARGETS, NONE, 0)?.name ?? '';
      chooser.addInFlight(name);
      if (name === 'b') slow += 1;
      else chooser.removeInFlight(name);
    }
    expect(slow).toEqual(1);
  });

  it('turns work away when every target is full', () => {
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 2, passOverMs: 2_000 });
    for (let order = 0; order < 6; order += 1) {
      chooser.addInFlight(chooser.chooseTarget(TARGETS, NONE, 0)?.name ?? '');
    }
    expect(chooser.chooseTarget(TARGETS, NONE, 0)).toEqual(undefined);
  });

  it('tries a dead target again with a single order', () => {
    // A dead server looks idle and would attract every order. After the pause one order tries it;
    // a burst at that moment must not follow it there.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const others = new Set(['b', 'c']);
    chooser.markPassedOver('a', 0);
    expect(chooser.chooseTarget(TARGETS, others, 1_999)).toEqual(undefined);
    expect(chooser.chooseTarget(TARGETS, others, 2_000)?.name).toEqual('a');
    chooser.addInFlight('a');
    expect(chooser.chooseTarget(TARGETS, others, 2_000)).toEqual(undefined);
    chooser.recordAnswer('a');
    expect(chooser.chooseTarget(TARGETS, others, 2_000)?.name).toEqual('a');
  });

  it('tries a target that stays dead ever more rarely', () => {
    // A zone is cut off for ten minutes. Each order that tries a target there waits for the connect
    // timeout; tried every two seconds, 300 callers would. A burst of failures counts once.
    const chooser = TargetChoice.createTargetChooser({ maxInFlight: 8, passOverMs: 2_000 });
    const others = new Set(['b', 'c']);
    let tries = 0;
    for (let nowMs = 0; nowMs < 600_000; nowMs += 100) {
      if (chooser.chooseTarget(TARGETS, others, nowMs) !== undefined) {
        tries += 1;
        chooser.markPassedOver('a', nowMs);
        chooser.markPassedOver('a', nowMs);
      }
    }
    expect(tries).toEqual(22);
    chooser.recordAnswer('a');
    expect(chooser.chooseTarget(TARGETS, others, 600_000)?.name).toEqual('a');
  });
});
