/** Asks other routers whether they hear targets of a service. */
import type { RouterPeers } from '@sequoiarill/types';
import type { TRPCClient } from '@trpc/client';

import * as PeerCalls from './peerCall';
import * as Messages from './peerMessages';
import type { PeerRouter } from './peerServer';

/** A router of the region answers within a few milliseconds; a stream stands still meanwhile. */
export const CONTACT_TIMEOUT_MS = 150;

export function createContactCall(
  createPeerCaller: (address: string, timeoutMs: number) => TRPCClient<PeerRouter>,
  timeoutMs: number,
): RouterPeers['findContact'] {
  return (address, query) =>
    PeerCalls.runCall(async () => {
      const response = await createPeerCaller(address, timeoutMs).findContact.mutate(query);
      return { kind: 'contact', contact: Messages.decodeContactReply(response) };
    });
}
