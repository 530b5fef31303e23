import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Activations from '../activation';
import { SERVICE, createConfiguration, createRoute } from './virtualFleet';

const AUTO = { mode: 'auto', expectsContention: false } as const;

function listActive(
  overrides: Parameters<typeof createConfiguration>[0],
  options: Activations.ActivationOptions = AUTO,
) {
  const configuration = createConfiguration(overrides);
  return [...Activations.computeActivation(configuration, options).services.keys()];
}

const EQUAL_ROUTES = [createRoute('chat', 1), createRoute('batch', 1)];

describe('activation', () => {
  it('follows the priorities, the settings and the platform', () => {
    const unlike = [createRoute('chat', 0), createRoute('batch', 1)];
    const own = [{ name: 'a', apiKeys: [], priority: 3 }];
    const mixed = [...own, { name: 'b', apiKeys: [] }];
    expect(listActive({ routes: unlike })).toEqual([SERVICE]);
    expect(listActive({ routes: EQUAL_ROUTES })).toEqual([]);
    expect(listActive({ routes: EQUAL_ROUTES, organisations: mixed })).toEqual([SERVICE]);
    // The organisation's priority overrides the routes', so no two streams differ.
    expect(listActive({ routes: unlike, organisations: own })).toEqual([]);
    expect(listActive({ routes: EQUAL_ROUTES }, { ...AUTO, mode: 'on' })).toEqual([SERVICE]);
    expect(listActive({ routes: EQUAL_ROUTES }, { ...AUTO, expectsContention: true })).toEqual([
      SERVICE,
    ]);
    expect(listActive({ routes: unlike }, { mode: 'off', expectsContention: true })).toEqual([]);
  });

  it('ignores routes without streams and services without engines', () => {
    const plain = { ...createRoute('files', 5), isStream: false };
    const routes = [createRoute('chat', 1), plain, createRoute('x', 3, 'plain')];
    expect(listActive({ routes: [...routes, createRoute('y', 4, 'plain')] })).toEqual([]);
  });

  it('counts malformed priorities as the least urgent without moving the others', () => {
    // Failure: a priority of 1e12 or NaN in the configuration changes the levels of sound routes.
    const bad = [Number.NaN, -1, 1_001].map((priority) => createRoute(`bad${priority}`, priority));
    const sound = [0, 1, 2].map((priority) => createRoute(`sound${priority}`, priority));
    const organisations = [
      { name: 'a', apiKeys: [] },
      { name: 'b', apiKeys: [], priority: Number.POSITIVE_INFINITY },
    ];
    const configuration = createConfiguration({ routes: [...bad, ...sound], organisations });
    const { services, malformed } = Activations.computeActivation(configuration, AUTO);
    const getLevel = services.get(SERVICE)?.getLevel;
    expect(sound.map((route) => getLevel?.(route, 'a'))).toEqual([0, 1, 2]);
    expect(bad.map((route) => getLevel?.(route, 'a'))).toEqual([2, 2, 2]);
    expect(sound.map((route) => getLevel?.(route, 'b'))).toEqual([2, 2, 2]);
    expect(malformed.map(({ owner }) => owner)).toEqual(['badNaN', 'bad-1', 'bad1001', 'b']);
    expect(listActive({ routes: [createRoute('chat', 1), ...bad] })).toEqual([]);
    const off = Activations.computeActivation(configuration, { ...AUTO, mode: 'off' });
    expect(off).toEqual({ services: new Map(), malformed });
  });
});
