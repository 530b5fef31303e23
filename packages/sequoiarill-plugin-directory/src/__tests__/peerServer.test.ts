import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { RetryQuotaRequest } from '@sequoiarill/types';
import * as Standalone from '@trpc/server/adapters/standalone';
import { expect } from 'earl';

import * as PeerClients from '../peerClient';
import * as PeerServers from '../peerServer';

/** Long, because the test checks the granted quota and not the speed of a busy machine. */
const QUOTA_TIMEOUT_MS = 10_000;

function createPeerRouter(grantRetryQuota: (request: RetryQuotaRequest) => number) {
  return PeerServers.createPeerRouter({
    state: { listRecordsAfter: () => [], subscribe: () => () => undefined },
    follower: { getSeenRevision: () => 7, getAgeMs: () => 20, subscribe: () => () => undefined },
    clock: { getNowMs: () => 0, waitMs: async () => undefined },
    grantRetryQuota,
    handleReport: () => ({ isHalted: false, avoided: [] }),
    grantPermits: () => ({ permits: 0 }),
    handleCrashes: () => undefined,
    handleAnswers: () => undefined,
    handleBlocks: () => [],
    handleBrittle: () => undefined,
    handleContactQuery: () => ({}),
    handleOrigins: () => undefined,
    handleOriginQuery: () => ({ kind: 'unknown' }),
    handlePartCrashes: () => undefined,
    handlePartAnswers: () => undefined,
    handlePartQuery: async () => ({ answers: [], explainedTargets: [] }),
    handlePartBlocks: () => [],
    handleRoom: () => [],
    recordRoomRefusal: () => undefined,
  });
}

function createCaller(grantRetryQuota: (request: RetryQuotaRequest) => number) {
  return createPeerRouter(grantRetryQuota).createCaller({});
}

/** Requests retry quota as another router does, over a socket. */
async function acquireOverSocket(
  request: RetryQuotaRequest,
  grantRetryQuota: (received: RetryQuotaRequest) => number,
) {
  const server = Http.createServer(
    Standalone.createHTTPHandler({ router: createPeerRouter(grantRetryQuota) }),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = PeerClients.createPeerClient(
    { expectedTarget: 'target' },
    Kernel.createSystemClock(),
    QUOTA_TIMEOUT_MS,
  );
  const outcome = await client.acquireRetryQuota(`127.0.0.1:${port}`, request);
  await client.close();
  server.close();
  return outcome;
}

describe('peer server', () => {
  it('grants the quota that the handler decides on', async () => {
    const requests: RetryQuotaRequest[] = [];
    const caller = createCaller((request) => {
      requests.push(request);
      return 0.4;
    });
    expect(await caller.lendRepeats({ service: 'engines', repeats: 1 })).toEqual({ repeats: 0.4 });
    expect(requests).toEqual([{ service: 'engines', repeats: 1 }]);
  });

  it('receives requests for no more than it grants', async () => {
    // A router whose window is overdrawn needs several retries for one stream. If it requested all
    // of them, its peers would refuse the request as malformed, and it would get none.
    const outcome = await acquireOverSocket(
      { service: 'engines', repeats: 5 },
      (request) => request.repeats,
    );
    expect(outcome).toEqual({ kind: 'granted', repeats: 3 });
  });

  it('refuses requests for more than one stream can need', async () => {
    // A router of another version, or a faulty one, requests the whole retry quota. If it were
    // granted, each queried router would lack it, and every stream interrupted there would end
    // broken.
    const caller = createCaller(({ repeats }) => repeats);
    await expect(caller.lendRepeats({ service: 'engines', repeats: 150 })).toBeRejected();
  });
});
