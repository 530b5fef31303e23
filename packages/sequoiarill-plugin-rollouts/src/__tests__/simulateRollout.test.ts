import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cases from '../simulation/cases';
import * as Simulation from '../simulation/simulateRollout';

/** Limits on the exposure to a bad version: this share of the requests, plus this many requests. */
const SHARE = 0.1;
const SLACK = 50;
const ROLLBACK_MS = 5_000;

describe('simulated roll-outs over many routers', () => {
  for (const rolloutCase of Cases.CASES) {
    const expected = rolloutCase.bad === undefined ? 'completed' : 'rolledBack';
    it(`ends as ${expected}: ${rolloutCase.name}`, async () => {
      const result = await Simulation.simulateRollout(rolloutCase);
      expect(result.state).toEqual(expected);
      expect(result.isFinal).toEqual(true);
      expect(result.cut).toEqual(0);
      if (result.bad) {
        expect(result.exposed <= result.requests * SHARE + SLACK).toEqual(true);
        expect(result.afterRollbackMs <= ROLLBACK_MS).toEqual(true);
      }
    });
  }
});
