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
});
