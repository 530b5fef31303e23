import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as PartMessages from '../partMessages';

describe('blocks of parts between routers', () => {
  it('are taken with all the parts of long prompts', () => {
    // Guards against a block that no other router learns from its peers because its prompts are long.
    const others = Array.from({ length: 100 }, (_one, index) => `part${index}`);
    const ages = { firstAgeMs: 10, lastAgeMs: 1 };
    const block = { part: 'p', others, targets: ['t1'], failedTrials: 0, ...ages };
    const message = PartMessages.encodePartBlocks([block]);
    expect(PartMessages.partBlocksSchema.safeParse(message).success).toEqual(true);
  });

  it('are taken beside one that is longer than a message may hold', () => {
    // Guards against one block that keeps all others of its message from other routers.
    const ages = { firstAgeMs: 10, lastAgeMs: 1 };
    const sound = { part: 'p', others: ['q'], targets: ['t1'], failedTrials: 0, ...ages };
    const others = Array.from({ length: 2_000 }, (_one, index) => `part${index}`);
    const message = PartMessages.encodePartBlocks([sound, { ...sound, part: 'r', others }]);
    const parsed = PartMessages.partBlocksSchema.parse(message);
    expect(parsed.blocks.map(({ part }) => part)).toEqual(['p']);
  });
});
