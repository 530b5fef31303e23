import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as RestWait from '../restWait';
import type { RestWaitQuery } from '../restWait';

const QUERY: RestWaitQuery = { restMs: 200, waitedMs: 0, objectiveMs: 1_000, leftMs: 5_000 };

function getWaitMs(change: Partial<RestWaitQuery>): number | undefined {
  const decision = RestWait.decideRestWait({ ...QUERY, ...change });
  return decision.kind === 'wait' ? decision.waitMs : undefined;
}

describe('the decision about a rest', () => {
  it('refuses what could not be answered on time after it', () => {
    expect(getWaitMs({ restMs: 600 })).toEqual(undefined);
    expect(getWaitMs({ waitedMs: 400 })).toEqual(undefined);
    expect(getWaitMs({ leftMs: 150 })).toEqual(undefined);
  });

  it('never ends a wait before the rest, nor after half of the objective', () => {
    for (let restMs = 1; restMs < 500; restMs += 7) {
      const waitMs = getWaitMs({ restMs }) ?? 0;
      expect(waitMs >= restMs && waitMs <= 500).toEqual(true);
    }
  });

  it('sends the request with the earliest deadline first', () => {
    // Guards against a target that refuses again and gets all requests that waited at once.
    const waits = [300, 600, 900].map((leftMs) => getWaitMs({ leftMs }) ?? 0);
    expect(waits).toEqual([...waits].sort((left, right) => left - right));
    expect(new Set(waits).size).toEqual(3);
  });
});
