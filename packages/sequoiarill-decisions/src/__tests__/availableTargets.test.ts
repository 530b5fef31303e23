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

function listAvailable(targets: readonly AvailableCandidate[], suspects: readonly string[] = []) {
  return AvailableTargets.selectAvailable(targets, ({ id }) => suspects.includes(id)).map(
    ({ id }) => id,
  );
}

describe('targets available for new work', () => {
  it('does not use a single target whose entry expired while this router was partitioned', () => {
    // Order servers are replaced one by one while a zone is partitioned. After it reconnects, the
    // zone's routers cannot tell a server that left from one whose entry expired, and would book
    // orders at it.
    const targets = [
      ...createTargets('new', 2, 'ready'),
      ...createTargets('old', 1, 'unconfirmed'),
    ];
    expect(listAvailable(targets)).toEqual(['new0', 'new1']);
  });

  it('uses targets whose entries expired together', () => {
    // The store was unavailable and lost most entries, but their targets are alive. Without them,
    // all callers of the service would be refused for two seconds.
    const targets = [
      ...createTargets('back', 1, 'ready'),
      ...createTargets('old', 2, 'unconfirmed'),
    ];
    expect(listAvailable(targets)).toEqual(['back0', 'old0', 'old1']);
  });

  it('uses unconfirmed local targets after a partition while all others are suspected', () => {
    // A zone's own entries expire while it is partitioned. When it reconnects, there is no liveness
    // evidence of the other targets yet.
    const targets = [
      ...createTargets('far', 2, 'ready'),
      ...createTargets('own', 1, 'unconfirmed'),
    ];
    expect(listAvailable(targets, ['far0', 'far1'])).toEqual(['far0', 'far1', 'own0']);
  });

  it('never uses a target that is draining', () => {
    expect(listAvailable(createTargets('old', 2, 'draining'))).toEqual([]);
  });
});
