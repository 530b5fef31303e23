import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as TargetSet from '../targetSet';

const ROUTERS = Array.from({ length: 96 }, (_value, index) => `router-${index}`);
const TARGETS = Array.from({ length: 139 }, (_value, index) => `10.1.0.${index}:8000`);
const SIZE = 32;

function listSets(
  routers: readonly string[],
  targets: readonly string[],
): ReadonlyMap<string, readonly string[]> {
  return new Map(
    routers.map((routerName) => [
      routerName,
      TargetSet.createTargetSet({ routerName, size: SIZE }).selectTargets(targets, routers),
    ]),
  );
}

function listRouterCounts(
  sets: ReadonlyMap<string, readonly string[]>,
  targets: readonly string[],
): readonly number[] {
  const count = new Map(targets.map((target) => [target, 0]));
  for (const set of sets.values()) {
    set.forEach((target) => count.set(target, (count.get(target) ?? 0) + 1));
  }
  return [...count.values()];
}

describe('targetSet', () => {
  it('gives every target the same number of routers', () => {
    const counts = listRouterCounts(listSets(ROUTERS, TARGETS), TARGETS);
    expect(new Set(counts)).toEqual(new Set([23]));
  });

  it('keeps the sets of all routers near the configured size', () => {
    const sizes = [...listSets(ROUTERS, TARGETS).values()].map((set) => set.length);
    expect(Math.min(...sizes) > SIZE / 2).toEqual(true);
    expect(Math.max(...sizes) < SIZE * 1.6).toEqual(true);
  });

  it('changes few pairs when a router is removed', () => {
    const before = listSets(ROUTERS, TARGETS);
    const remaining = ROUTERS.slice(1);
    const after = listSets(remaining, TARGETS);
    const moved = remaining.reduce((sum, router) => {
      const previous = new Set(before.get(router));
      return sum + (after.get(router) ?? []).filter((target) => !previous.has(target)).length;
    }, 0);
    expect(moved <= (before.get(ROUTERS[0] ?? '')?.length ?? 0)).toEqual(true);
  });

  it('selects all targets if there are few, and ranks alone without peers', () => {
    const set = TargetSet.createTargetSet({ routerName: 'router-1', size: SIZE });
    expect(set.selectTargets(TARGETS.slice(0, 25), ROUTERS).length).toEqual(25);
    expect(set.selectTargets(TARGETS).length).toEqual(SIZE);
  });
});
