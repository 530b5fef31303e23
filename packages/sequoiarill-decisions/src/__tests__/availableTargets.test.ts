import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as AvailableTargets from '../availableTargets';
import type { AvailableCandidate } from '../availableTargets';

function createTargets(prefix: string, count: number, state: AvailableCandidate['state']) {
  return Array.from({ length: count }, (_one, index): AvailableCandidate => ({
    id: `${prefix}${index}`,
    zone: 'a',
    service: 'orders',
    state,
  }));
}

function listOpen(targets: readonly AvailableCandidate[], suspects: readonly string[] = []) {
  return AvailableTargets.selectAvailable(targets, ({ id }) => suspects.includes(id)).map(
    ({ id }) => id,
  );
}

describe('targets open for new work', () => {
  it('leaves a single target alone whose entry went while this router was cut off', () => {
    // Order servers are replaced one after the other while a zone is cut off. Back in touch, its routers
    // cannot tell a server that left from one whose entry lapsed, and book orders at the former.
    const targets = [
      ...createTargets('new', 2, 'ready'),
      ...createTargets('old', 1, 'unconfirmed'),
    ];
    expect(listOpen(targets)).toEqual(['new0', 'new1']);
  });

  it('uses targets whose entries lapsed together', () => {
    // The store was away and lost most entries. Their targets live; refused meanwhile, callers of a whole
    // service would wait for two seconds.
    const targets = [
      ...createTargets('back', 1, 'ready'),
      ...createTargets('old', 2, 'unconfirmed'),
    ];
    expect(listOpen(targets)).toEqual(['back0', 'old0', 'old1']);
  });

  it('uses a zone own targets at the end of its cut, while all others are suspect', () => {
    // A zone's targets lapse during its cut. When it ends, the others have not given a sign of life yet.
    const targets = [
      ...createTargets('far', 2, 'ready'),
      ...createTargets('own', 1, 'unconfirmed'),
    ];
    expect(listOpen(targets, ['far0', 'far1'])).toEqual(['far0', 'far1', 'own0']);
  });

  it('never opens a target that is draining', () => {
    expect(listOpen(createTargets('old', 2, 'draining'))).toEqual([]);
  });
});
