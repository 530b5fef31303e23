import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { RetryQuotaRequest } from '@sequoiarill/types';
import * as Standalone from '@trpc/server/adapters/standalone';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerServers from '../peerServer';

/** Of the test: what is lent is its matter, not how fast a busy machine answers. */
const LOAN_TIMEOUT_MS = 10_000;

function createPeerRouter(lendRepeats: (loan: RetryQuotaRequest) => number) {
  return PeerServers.createPeerRouter({
    state: { listRecordsAfter: () => [], subscribe: () => () => undefined },
    follower: { getSeenRevision: () => 7, getAgeMs: () => 20 },
    clock: { waitMs: async () => undefined },
    lendRepeats,
    handleReport: () => ({ isHalted: false, avoided: [] }),
    lendPermits: () => ({ permits: 0 }),
    handleCrashes: () => undefined,
    handleAnswers: () => undefined,
    handleBlocks: () => [],
  });
}

function createCaller(lendRepeats: (loan: RetryQuotaRequest) => number) {
  return createPeerRouter(lendRepeats).createCaller({});
}

/** As another router asks, over a socket. */
async function borrowOverSocket(
  loan: RetryQuotaRequest,
  lendRepeats: (asked: RetryQuotaRequest) => number,
) {
  const server = Http.createServer(
    Standalone.createHTTPHandler({ router: createPeerRouter(lendRepeats) }),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = PeerClients.createPeerClient(
    { expectedTarget: 'target' },
    Kernel.createSystemClock(),
    LOAN_TIMEOUT_MS,
  );
  const outcome = await client.borrowRepeats(`127.0.0.1:${port}`, loan);
  await client.close();
  server.close();
  return outcome;
}

describe('what a router answers its peers', () => {
  it('lends what the decision says', async () => {
    const asked: RetryQuotaRequest[] = [];
    const caller = createCaller((loan) => {
      asked.push(loan);
      return 0.4;
    });
    expect(await caller.lendRepeats({ service: 'engines', repeats: 1 })).toEqual({ repeats: 0.4 });
    expect(asked).toEqual([{ service: 'engines', repeats: 1 }]);
  });

  it('is asked for no more than it lends', async () => {
    // A router whose window is overdrawn needs several repeats for one stream. Asked for all of them,
    // its peers would refuse the question as malformed, and it would get none.
    const outcome = await borrowOverSocket(
      { service: 'engines', repeats: 5 },
      (loan) => loan.repeats,
    );
    expect(outcome).toEqual({ kind: 'granted', repeats: 3 });
  });

  it('lends nobody more than one stream can need', async () => {
    // A router of another version, or a faulty one, asks for all repeats there are. Lent, they would be
    // missing at each router that it asks, and every stream that is cut there would end broken.
    const caller = createCaller(({ repeats }) => repeats);
    await expect(caller.lendRepeats({ service: 'engines', repeats: 150 })).toBeRejected();
  });
});
