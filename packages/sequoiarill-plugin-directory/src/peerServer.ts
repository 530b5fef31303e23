/**
 * tRPC server for other routers: they read this router's directory, acquire retry quota and
 * permits, and report rollouts, crashes and origins of streams.
 */
import type { IncomingMessage } from 'node:http';

import * as Kernel from '@sequoiarill/kernel';
import type {
  BrittleReport,
  Clock,
  ContactQuery,
  ContactReply,
  CrashHandlers,
  OriginHandlers,
  OriginReply,
  RetryQuotaRequest,
  RolloutGuidance,
  RolloutReport,
  RoomFacts,
  RoomMessage,
  GrantedPermits,
  PartHandlers,
  PermitsRequest,
} from '@sequoiarill/types';
import * as Trpc from '@trpc/server';
import * as Standalone from '@trpc/server/adapters/standalone';

import type { DirectoryState } from './directoryState';
import * as PartMessages from './partMessages';
import * as Messages from './peerMessages';
import * as RoomMessages from './roomMessages';
import type { StoreFollower } from './storeFollower';

export interface PeerServer {
  /** Returns the `IP:port` that the server listens on. */
  readonly start: () => Promise<string>;
  readonly stop: () => Promise<void>;
}

/** What other routers read here. */
export interface RecordsSource {
  readonly state: Pick<DirectoryState, 'listRecordsAfter' | 'subscribe'>;
  readonly follower: Pick<StoreFollower, 'getSeenRevision' | 'getAgeMs' | 'subscribe'>;
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
}

/** Covers the way of a response, so that the same confirmation is not reported twice. */
const MIN_AGE_GAIN_MS = 50;

export interface PeerServerOptions
  extends CrashHandlers, OriginHandlers, PartHandlers, RecordsSource {
  readonly grantRetryQuota: (request: RetryQuotaRequest) => number;
  readonly grantPermits: (request: PermitsRequest) => GrantedPermits;
  readonly handleBrittle: (report: BrittleReport) => void;
  readonly handleContactQuery: (query: ContactQuery) => ContactReply | Promise<ContactReply>;
  readonly handleReport: (report: RolloutReport) => RolloutGuidance;
  readonly handleRoom: (
    message: RoomMessage,
  ) => readonly RoomFacts[] | Promise<readonly RoomFacts[]>;
  readonly recordRoomRefusal: (sender: string, reason: string) => void;
}

/** Whether there is something to report that the requesting router does not know. */
function hasNews(
  { follower }: Pick<RecordsSource, 'follower'>,
  after: number,
  ageMs: number | undefined,
): boolean {
  if (follower.getSeenRevision() > after) return true;
  return ageMs !== undefined && follower.getAgeMs() + MIN_AGE_GAIN_MS < ageMs;
}

/** Returns on an update, on a newer confirmation by the store, or after the given time. */
async function waitForUpdates(
  { state, follower, clock }: RecordsSource,
  waitMs: number,
): Promise<void> {
  const updated = new AbortController();
  const stopWait = () => updated.abort();
  const unsubscribes = [state.subscribe(stopWait), follower.subscribe(stopWait)];
  await clock.waitMs(waitMs, updated.signal);
  unsubscribes.forEach((unsubscribe) => unsubscribe());
}

/**
 * Load pattern: routers without any state query others while the store is slow, each for
 * everything. Complete responses would fill the links of the queried routers, and none would arrive
 * in time. So the oldest changes come first, as many as a small link carries at once, and the next
 * request continues from there.
 */
function buildResponse(
  { state, follower }: Pick<RecordsSource, 'state' | 'follower'>,
  after: number,
  heldMs: number,
): Messages.RecordsResponse {
  const ageMs = Math.min(Messages.MAX_REPORTED_AGE_MS, Math.round(follower.getAgeMs()));
  const all = [...state.listRecordsAfter(after)].sort(
    (left, right) => left.revision - right.revision,
  );
  const last = all[Messages.MAX_RECORDS - 1]?.revision;
  const seenRevision = follower.getSeenRevision();
  if (last === undefined) {
    return Messages.encodeRecords({
      records: all,
      seenRevision,
      ageMs,
      heldMs,
      isTruncated: false,
    });
  }
  // Keys that were written together stay together. While the first read is unfinished, this router
  // has seen no revision completely and reports 0.
  const records = all.filter(({ revision }) => revision <= last);
  return Messages.encodeRecords({
    records,
    seenRevision: Math.min(last, seenRevision),
    ageMs,
    heldMs,
    isTruncated: records.length < all.length,
  });
}

/** Answers a request for records as soon as there are any, or after the requested wait. */
export async function handleRecordsRequest(
  options: RecordsSource,
  request: Messages.RecordsRequest,
): Promise<Messages.RecordsResponse> {
  const after = Messages.decodeAfterRevision(request, options.follower.getSeenRevision());
  const startedMs = options.clock.getNowMs();
  if (!hasNews(options, after, request.ageMs)) await waitForUpdates(options, request.waitMs);
  return buildResponse(options, after, Math.floor(options.clock.getNowMs() - startedMs));
}

/**
 * The procedures are mutations: their input is sent in the body, which is not limited in length
 * like a path.
 */
export function createPeerRouter(options: PeerServerOptions) {
  const { router, procedure } = Trpc.initTRPC.create();
  return router({
    readRecords: procedure
      .input(Messages.recordsRequestSchema)
      .mutation(({ input }) => handleRecordsRequest(options, input)),
    lendRepeats: procedure
      .input(Messages.retryQuotaRequestSchema)
      .mutation(({ input }): Messages.RetryQuotaResponse => ({
        repeats: options.grantRetryQuota(input),
      })),
    reportCrashes: procedure.input(Messages.crashesRequestSchema).mutation(({ input }) => {
      options.handleCrashes(input.crashes);
    }),
    reportAnswers: procedure.input(Messages.answersRequestSchema).mutation(({ input }) => {
      options.handleAnswers(input.answers);
    }),
    exchangeBlocks: procedure
      .input(Messages.blocksSchema)
      .mutation(({ input }) => Messages.encodeBlocks(options.handleBlocks(input.blocks))),
    reportPartCrashes: procedure.input(PartMessages.partCrashesSchema).mutation(({ input }) => {
      options.handlePartCrashes(input.crashes);
    }),
    reportPartAnswers: procedure.input(PartMessages.partAnswersSchema).mutation(({ input }) => {
      options.handlePartAnswers(input.answers);
    }),
    queryPart: procedure
      .input(PartMessages.partQuerySchema)
      .mutation(async ({ input }) =>
        PartMessages.encodePartFindings(await options.handlePartQuery(input)),
      ),
    exchangePartBlocks: procedure.input(PartMessages.partBlocksSchema).mutation(({ input }) => {
      const known = options.handlePartBlocks(PartMessages.decodePartBlocks(input));
      return PartMessages.encodePartBlocks(known);
    }),
    reportBrittle: procedure.input(Messages.brittleReportSchema).mutation(({ input }) => {
      options.handleBrittle(input);
    }),
    reportOrigins: procedure.input(Messages.originsRequestSchema).mutation(({ input }) => {
      options.handleOrigins(input.records);
    }),
    findOrigin: procedure
      .input(Messages.originQuerySchema)
      .mutation(async ({ input }): Promise<OriginReply> => options.handleOriginQuery(input)),
    findContact: procedure
      .input(Messages.contactQuerySchema)
      .mutation(async ({ input }): Promise<ContactReply> => options.handleContactQuery(input)),
    lendPermits: procedure
      .input(Messages.permitsRequestSchema)
      .mutation(({ input }): GrantedPermits =>
        options.grantPermits(Messages.decodePermitsRequest(input)),
      ),
    exchangeRoom: procedure
      .input((value) => RoomMessages.decodeMessage(value, options.recordRoomRefusal))
      .mutation(async ({ input }) => RoomMessages.encodeFacts(await options.handleRoom(input))),
    reportRollout: procedure
      .input(Messages.reportRequestSchema)
      .mutation(({ input }): RolloutGuidance => options.handleReport(Messages.decodeReport(input))),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;

/** Above the largest message: 200 blocks with 16,384 parts and 64 targets each, of up to 200 characters: 6 MB. */
const MAX_BODY_BYTES = 8 * 1_048_576;
/** Other routers send their requests at once, and read the answers. */
const LIMITS = { requestTimeout: 10_000, headersTimeout: 10_000, unreadMs: 10_000 } as const;

/** Rejects where the body is too large, or its connection ends before it. */
async function readBody(request: IncomingMessage): Promise<string> {
  const body = Kernel.createBlockBuffer();
  for await (const chunk of request as AsyncIterable<Buffer>) {
    body.addBytes(chunk);
    if (body.countBytes() > MAX_BODY_BYTES) throw new Error('the body is too large');
  }
  return body.merge().toString('utf8');
}

export function createPeerServer(options: PeerServerOptions, listen: string): PeerServer {
  const handler = Standalone.createHTTPHandler({
    router: createPeerRouter(options),
    maxBodySize: MAX_BODY_BYTES,
  });
  const server = Kernel.createGuardedServer(LIMITS, (request, response) => {
    readBody(request).then(
      (body) => handler(Object.assign(request, { body }), response),
      () => response.destroy(),
    );
  });
  return {
    async start() {
      await Kernel.openListener(server, listen, '[directory] listen');
      return Kernel.getBoundAddress(server);
    },
    stop: () => Kernel.closeListener(server),
  };
}
