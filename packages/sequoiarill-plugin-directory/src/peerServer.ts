/** Lets other routers read the directory of this one, over tRPC. */
import * as Http from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import * as Trpc from '@trpc/server';
import * as Standalone from '@trpc/server/adapters/standalone';

import type { DirectoryState } from './directoryState';
import * as Messages from './peerMessages';

export interface PeerServer {
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** A mutation: its input is then in the body, which has no limit of length like a path. */
export function createPeerRouter(state: Pick<DirectoryState, 'listRecordsAfter'>) {
  const { router, procedure } = Trpc.initTRPC.create();
  return router({
    readRecords: procedure
      .input(Messages.recordsQuestionSchema)
      .mutation(({ input }): Messages.RecordsAnswer => ({
        records: [...state.listRecordsAfter(input.afterRevision)],
      })),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;

export function createPeerServer(
  state: Pick<DirectoryState, 'listRecordsAfter'>,
  listen: string,
): PeerServer {
  const handler = Standalone.createHTTPHandler({ router: createPeerRouter(state) });
  const server = Http.createServer(handler);
  return {
    start: () => Kernel.openListener(server, listen, '[directory] listen'),
    stop: () => Kernel.closeListener(server),
  };
}
