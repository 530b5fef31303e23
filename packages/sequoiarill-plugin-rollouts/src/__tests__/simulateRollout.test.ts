import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cases from '../simulation/cases';
import * as Played from '../simulation/simulateRollout';

/** What operators allow a bad version: this share of the requests, and so many besides. */
const SHARE = 0.1;
const SLACK = 50;
const ROLLBACK_MS = 5_000;

describe('roll-outs over many routers', () => {
  for (const played of Cases.CASES) {
    const expected = played.bad === undefined ? 'completed' : 'rolledBack';
    it(`ends as ${expected}: ${played.name}`, async () => {
      const result = await Played.simulateRollout(played);
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
