import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as EnginePlacements from '../enginePlacements';

describe('the prefill time of a service', () => {
  for (const [running, expected] of [
    [0, 0],
    [6, 1],
  ] as const) {
    it(`is ${expected === 0 ? '' : 'not '}measured where ${running} of 8 slots are taken`, async () => {
      // Guards against waits for a slot that look like prefills: streams would be refused as late without cause.
      const fake = Fakes.createFakeDependencies(() => []);
      fake.room.isOn = true;
      fake.setTargets([Fakes.createTarget('a1')]);
      fake.reports.set('a1', { ...Fakes.IDLE_REPORT, running });
      const request = Fakes.createRequest(Fakes.createRoute());
      const pair = await EnginePlacements.chooseEngines(fake.dependencies, request, new Set());
      expect(pair?.promptsAhead).toEqual(expected);
    });
  }
});
