import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as OwnLoads from '../ownLoads';

const LAG_MS = 300;

describe('what a target holds of a router', () => {
  it('counts a copy until a report can show it, and an ended run while a report may', () => {
    // Guards against room that is counted twice or not at all, while reports lag behind.
    let nowMs = 0;
    const loads = OwnLoads.createOwnLoads(() => nowMs, LAG_MS);
    const target = Fakes.createTarget('a1');
    const copy = loads.recordCopy(target, 9_000);
    loads.recordRunEnd(target, { id: 'r1', promptTokens: 8_000, tokens: 9_000 });
    nowMs = 1_000;
    loads.recordReport(target);
    expect(loads.getLoad(target)).toEqual({ copyTokens: 9_000, ended: [] });
    copy.recordBegun();
    nowMs += LAG_MS;
    loads.recordReport(target);
    expect(loads.getLoad(target).copyTokens).toEqual(0);
    loads.recordCopy(target, 9_000).recordEnd();
    expect(loads.getLoad(target).copyTokens).toEqual(0);
  });

  it('forgets incarnations that are gone', () => {
    const loads = OwnLoads.createOwnLoads(() => 0, LAG_MS);
    const target = Fakes.createTarget('a1');
    loads.recordCopy(target, 9_000);
    loads.removeMissing(() => false);
    expect(loads.getLoad(target).copyTokens).toEqual(0);
  });
});
