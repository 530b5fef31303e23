/** Calls to other routers about parts of prompts. */
import type { PartCalls } from '@sequoiarill/types';
import type { TRPCClient } from '@trpc/client';

import * as PartMessages from './partMessages';
import * as PeerCalls from './peerCall';
import type { PeerRouter } from './peerServer';

/** The other router waits for runs that have just begun. */
const QUERY_TIMEOUT_MS = 2_200;

export function createPartCalls(
  createPeerCaller: (address: string, timeoutMs: number) => TRPCClient<PeerRouter>,
  callTimeoutMs: number,
): PartCalls {
  return {
    reportPartCrashes: (address, crashes) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, callTimeoutMs);
        await caller.reportPartCrashes.mutate({
          crashes: crashes.map((crash) => ({ ...crash, others: [...crash.others] })),
        });
        return { kind: 'counted' };
      }),
    reportPartAnswers: (address, answers) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, callTimeoutMs);
        await caller.reportPartAnswers.mutate(PartMessages.encodePartAnswers(answers));
        return { kind: 'counted' };
      }),
    queryPart: (address, query) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, QUERY_TIMEOUT_MS);
        const { others, targets } = query;
        const sent = { ...query, others: [...others], targets: [...targets] };
        const response = await caller.queryPart.mutate(sent);
        return { kind: 'findings', ...PartMessages.partFindingsSchema.parse(response) };
      }),
    exchangePartBlocks: (address, blocks) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, callTimeoutMs);
        const sent = PartMessages.encodePartBlocks(blocks);
        const response = await caller.exchangePartBlocks.mutate(sent);
        const received = PartMessages.partBlocksSchema.parse(response);
        return { kind: 'blocks', blocks: PartMessages.decodePartBlocks(received) };
      }),
  };
}
