import { after, before, describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Fakes from './fakes';
import type { Router } from './fakes';

/** More than arrives while a connection is kept open for the rest of a body. */
const MAX_BYTES = 16_384 * 1_048_576;
const MAX_GROWTH_BYTES = 128 * 1_048_576;

describe('a caller that sends without end', () => {
  let router: Router;

  before(async () => {
    router = await Fakes.startRouter();
  });
  after(() => router.stop());

  async function checkClosed(path: string): Promise<void> {
    const headers = [`authorization: Bearer ${Fakes.SHOP_KEY}`];
    const address = router.url.replace('http://', '');
    for (const [name, request] of Object.entries(Kernel.createEndlessRequests(path, headers))) {
      const memoryBytes = process.memoryUsage().rss;
      const { isClosed } = await Kernel.sendEndlessRequest(address, request, MAX_BYTES);
      const isBounded = process.memoryUsage().rss - memoryBytes < MAX_GROWTH_BYTES;
      expect({ name, isClosed, isBounded }).toEqual({ name, isClosed: true, isBounded: true });
    }
  }

  // Guards against bytes that are kept, or read and dropped, for as long as a caller sends them.
  it('has its connection closed', () => checkClosed('/v1/responses'));
  it('has its connection closed where the path does not exist', () => checkClosed('/v1/none'));
});
