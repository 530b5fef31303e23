/** Calls to other routers about what began the streams that callers resume. */
import type {
  CrashReportOutcome,
  OriginOutcome,
  OriginQuery,
  OriginRecord,
} from '@sequoiarill/types';
import type { TRPCClient } from '@trpc/client';

import * as PeerCalls from './peerCall';
import * as Messages from './peerMessages';
import type { PeerRouter } from './peerServer';

export interface OriginCalls {
  readonly reportOrigins: (
    address: string,
    records: readonly OriginRecord[],
  ) => Promise<CrashReportOutcome>;
  readonly findOrigin: (address: string, query: OriginQuery) => Promise<OriginOutcome>;
}

/** A caller waits meanwhile, and is refused without the reply; a busy router needs longer than an idle one. */
const QUERY_TIMEOUT_MS = 250;

export function createOriginCalls(
  createPeerCaller: (
    address: string,
    timeoutMs: number,
    recordTimeout?: () => void,
  ) => TRPCClient<PeerRouter>,
  callTimeoutMs: number,
): OriginCalls {
  return {
    reportOrigins: (address, records) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, callTimeoutMs);
        await caller.reportOrigins.mutate({ records: records.slice(0, Messages.MAX_ORIGINS) });
        return { kind: 'counted' };
      }),
    async findOrigin(address, { services, ...key }) {
      let isSilent = false;
      const outcome = await PeerCalls.runCall<OriginOutcome>(async () => {
        const caller = createPeerCaller(address, QUERY_TIMEOUT_MS, () => {
          isSilent = true;
        });
        const query = { ...key, services: [...services] };
        return Messages.decodeOriginReply(await caller.findOrigin.mutate(query));
      });
      return outcome.kind === 'failed' ? { ...outcome, isSilent } : outcome;
    },
  };
}
