/** The tRPC router with the procedures that routers call on each other. */
import * as Trpc from '@trpc/server';

import * as Handlers from './exchangeHandlers';
import type { ExchangeState } from './exchangeState';
import * as Messages from './messages';

export interface PeerRouterOptions {
  readonly state: ExchangeState;
  /** Pings another router on behalf of a peer that cannot reach it. */
  readonly isReachable: (name: string) => Promise<boolean>;
}

/** All procedures are mutations, so that their input is in the body, which the signature covers. */
export function createPeerRouter(options: PeerRouterOptions) {
  const { state, isReachable } = options;
  const { router, procedure } = Trpc.initTRPC.create();
  return router({
    exchange: procedure
      .input(Messages.exchangeInputSchema)
      .mutation(({ input }) => Handlers.handleExchange(state, input)),
    mergePeers: procedure
      .input(Messages.peersSchema)
      .mutation(({ input }) => Handlers.handlePeers(state, input)),
    listSections: procedure
      .input(Messages.sectionsInputSchema)
      .mutation(({ input }) => Handlers.handleSections(state, input)),
    ping: procedure
      .input(Messages.pingInputSchema)
      .mutation((): Messages.PingOutput => ({ name: state.peers.getSelf().name })),
    probe: procedure
      .input(Messages.probeInputSchema)
      .mutation(async ({ input }): Promise<Messages.ProbeOutput> => ({
        isReachable: await isReachable(input.name),
      })),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
