/** Lets other routers read the directory of this one and borrow repeats of it, over tRPC. */
import * as Http from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import type {
  Clock,
  CrashHandlers,
  RetryQuotaRequest,
  RolloutGuidance,
  RolloutReport,
  GrantedPermits,
  PermitsRequest,
} from '@sequoiarill/types';
import * as Trpc from '@trpc/server';
import * as Standalone from '@trpc/server/adapters/standalone';

import type { DirectoryState } from './directoryState';
import * as Messages from './peerMessages';
import * as StoreFollowers from './storeFollower';
import type { StoreFollower } from './storeFollower';

export interface PeerServer {
  /** Gives the `IP:port` that it listens on. */
  readonly start: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

export interface PeerServerOptions extends CrashHandlers {
  readonly state: Pick<DirectoryState, 'listRecordsAfter' | 'subscribe'>;
  readonly follower: Pick<StoreFollower, 'getSeenRevision' | 'getAgeMs'>;
  readonly clock: Pick<Clock, 'waitMs'>;
  readonly lendRepeats: (loan: RetryQuotaRequest) => number;
  readonly lendPermits: (question: PermitsRequest) => GrantedPermits;
  readonly handleReport: (report: RolloutReport) => RolloutGuidance;
}

/** Ends with news, after the time, or when what is known here gets too old to wait on it. */
async function waitForNews(options: PeerServerOptions, after: number, waitMs: number) {
  const { state, follower, clock } = options;
  if (follower.getSeenRevision() > after) return;
  const leftMs = Math.min(waitMs, Math.max(0, StoreFollowers.MAX_AGE_MS - follower.getAgeMs()));
  const news = new AbortController();
  const unsubscribe = state.subscribe(() => news.abort());
  await clock.waitMs(leftMs, news.signal);
  unsubscribe();
}

/**
 * Load pattern: routers that know nothing ask others while the store is slow, each for everything. Whole
 * answers fill the links of those that know, and nobody gets one in time. So the oldest changes come
 * first, as many as a small link carries at once, and the next question goes on from there.
 */
function buildAnswer(
  { state, follower }: Pick<PeerServerOptions, 'state' | 'follower'>,
  after: number,
): Messages.RecordsAnswer {
  const ageMs = Math.min(Messages.MAX_AGE_MS, Math.round(follower.getAgeMs()));
  const news = [...state.listRecordsAfter(after)].sort(
    (left, right) => left.revision - right.revision,
  );
  const last = news[Messages.MAX_RECORDS - 1]?.revision;
  if (last === undefined) return { records: news, seenRevision: follower.getSeenRevision(), ageMs };
  // Keys that were written together stay together; a router that has not read all knows of no end.
  const records = news.filter(({ revision }) => revision <= last);
  return { records, seenRevision: Math.min(last, follower.getSeenRevision()), ageMs };
}

/** A mutation: its input is then in the body, which has no limit of length like a path. */
export function createPeerRouter(options: PeerServerOptions) {
  const { router, procedure } = Trpc.initTRPC.create();
  return router({
    readRecords: procedure
      .input(Messages.recordsQuestionSchema)
      .mutation(async ({ input }): Promise<Messages.RecordsAnswer> => {
        await waitForNews(options, input.afterRevision, input.waitMs);
        return buildAnswer(options, input.afterRevision);
      }),
    lendRepeats: procedure
      .input(Messages.loanQuestionSchema)
      .mutation(({ input }): Messages.LoanAnswer => ({ repeats: options.lendRepeats(input) })),
    reportCrashes: procedure.input(Messages.crashesQuestionSchema).mutation(({ input }) => {
      options.handleCrashes(input.crashes);
    }),
    reportAnswers: procedure.input(Messages.answersQuestionSchema).mutation(({ input }) => {
      options.handleAnswers(input.answers);
    }),
    exchangeBlocks: procedure
      .input(Messages.blocksSchema)
      .mutation(({ input }) => Messages.encodeBlocks(options.handleBlocks(input.blocks))),
    lendPermits: procedure
      .input(Messages.permitsQuestionSchema)
      .mutation(({ input }): GrantedPermits =>
        options.lendPermits(Messages.decodePermitsQuestion(input)),
      ),
    reportRollout: procedure
      .input(Messages.reportQuestionSchema)
      .mutation(({ input }): RolloutGuidance => options.handleReport(Messages.decodeReport(input))),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;

export function createPeerServer(options: PeerServerOptions, listen: string): PeerServer {
  const handler = Standalone.createHTTPHandler({ router: createPeerRouter(options) });
  const server = Http.createServer(handler);
  return {
    async start() {
      await Kernel.openListener(server, listen, '[directory] listen');
      return Kernel.getBoundAddress(server);
    },
    stop: () => Kernel.closeListener(server),
  };
}
