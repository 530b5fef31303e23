/**
 * tRPC client for other routers: reads their directories, acquires retry quota and permits, and
 * reports rollouts and crashes.
 */
import * as Kernel from '@sequoiarill/kernel';
import type {
  BlockExchangeOutcome,
  BrittleReport,
  Clock,
  ContactOutcome,
  ContactQuery,
  ContentAnswer,
  ContentBlock,
  Crash,
  CrashReportOutcome,
  GuidanceOutcome,
  HeaderNames,
  PartCalls,
  RetryQuotaOutcome,
  RetryQuotaRequest,
  RolloutReport,
  RoomMessage,
  RoomOutcome,
  PermitsOutcome,
  PermitsRequest,
} from '@sequoiarill/types';
import * as TrpcClient from '@trpc/client';
import * as Undici from 'undici';

import * as ContactClients from './contactClient';
import * as OriginClients from './originClient';
import type { OriginCalls } from './originClient';
import * as PartClients from './partClient';
import * as PeerCalls from './peerCall';
import * as Messages from './peerMessages';
import type { RecordsOutcome, RecordsQuery } from './peerMessages';
import type { PeerRouter } from './peerServer';
import * as RoomMessages from './roomMessages';

export interface PeerClient extends PartCalls, OriginCalls {
  readonly readRecords: (address: string, query: RecordsQuery) => Promise<RecordsOutcome>;
  readonly acquireRetryQuota: (
    address: string,
    request: RetryQuotaRequest,
  ) => Promise<RetryQuotaOutcome>;
  readonly sendReport: (address: string, report: RolloutReport) => Promise<GuidanceOutcome>;
  readonly reportCrashes: (
    address: string,
    crashes: readonly Crash[],
  ) => Promise<CrashReportOutcome>;
  readonly reportAnswers: (
    address: string,
    answers: readonly ContentAnswer[],
  ) => Promise<CrashReportOutcome>;
  readonly reportBrittle: (address: string, report: BrittleReport) => Promise<CrashReportOutcome>;
  readonly exchangeBlocks: (
    address: string,
    blocks: readonly ContentBlock[],
  ) => Promise<BlockExchangeOutcome>;
  readonly acquirePermits: (address: string, request: PermitsRequest) => Promise<PermitsOutcome>;
  readonly findContact: (address: string, query: ContactQuery) => Promise<ContactOutcome>;
  readonly exchangeRoom: (address: string, message: RoomMessage) => Promise<RoomOutcome>;
  readonly close: () => Promise<void>;
}

/**
 * A running peer responds within a few milliseconds. An unreachable one must not delay the others.
 */
const CALL_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 400;
/** Short, because a caller's stream is stalled meanwhile; another peer can be queried. */
const QUOTA_TIMEOUT_MS = 80;
/**
 * The largest response has 200 records, one of them a configuration of at most 1 MiB, which its quotes make up to twice as
 * long. Without a bound, one that sends as fast as it is read takes hundreds of MB within the timeout.
 */
const MAX_RESPONSE_BYTES = 8 * 1_048_576;
/** A request that waits for updates must not delay another one. */
const CONNECTIONS_PER_PEER = 2;

export function createPeerClient(
  headerNames: Pick<HeaderNames, 'expectedTarget'>,
  { getRunningMs }: Pick<Clock, 'getRunningMs'>,
  quotaTimeoutMs = QUOTA_TIMEOUT_MS,
  contactTimeoutMs = ContactClients.CONTACT_TIMEOUT_MS,
): PeerClient {
  const dispatcher = new Undici.Agent({
    connections: CONNECTIONS_PER_PEER,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  /**
   * Failure: a router has terminated, a target has its address now, and runs calls that no caller
   * has sent. The expected target in the header is the address of the router. No target has such an
   * id, so all targets refuse the call.
   */
  async function sendCall(
    url: string,
    body: string,
    timeoutMs: number,
    recordTimeout?: () => void,
  ) {
    const timeout = new AbortController();
    let stopTimer: (() => void) | undefined;
    // undici rejects an aborted request only once it has a connection or fails to get one.
    const timedOut = new Promise<never>((_resolve, reject) => {
      stopTimer = Kernel.startRunningTimer(getRunningMs, timeoutMs, () => {
        recordTimeout?.();
        const error = new Error(`no response within ${timeoutMs} ms`);
        timeout.abort(error);
        reject(error);
      });
    });
    try {
      return await Promise.race([sendRequest(url, body, timeout), timedOut]);
    } finally {
      stopTimer?.();
    }
  }

  async function sendRequest(url: string, body: string, ended: AbortController) {
    const response = await Undici.request(url, {
      method: 'POST',
      body,
      headers: {
        'content-type': 'application/json',
        [headerNames.expectedTarget]: new URL(url).host,
      },
      dispatcher,
      signal: ended.signal,
      onInfo: Kernel.createInterimLimit((error) => ended.abort(error)),
    });
    const text = await response.body.text();
    return {
      ok: response.statusCode < 400,
      status: response.statusCode,
      json: async () => JSON.parse(text) as unknown,
    };
  }

  function createPeerCaller(address: string, timeoutMs: number, recordTimeout?: () => void) {
    const link = TrpcClient.httpLink<PeerRouter>({
      url: `http://${address}`,
      fetch: (input, init) =>
        sendCall(String(input), String(init?.body ?? ''), timeoutMs, recordTimeout),
    });
    return TrpcClient.createTRPCClient<PeerRouter>({ links: [link] });
  }

  return {
    acquireRetryQuota: (address, request) =>
      PeerCalls.runCall(async () => {
        const repeats = Math.min(request.repeats, Messages.MAX_RETRY_QUOTA);
        const caller = createPeerCaller(address, quotaTimeoutMs);
        const response = await caller.lendRepeats.mutate({ ...request, repeats });
        return {
          kind: 'granted',
          repeats: Messages.retryQuotaResponseSchema.parse(response).repeats,
        };
      }),
    sendReport: (address, report) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS);
        const response = await caller.reportRollout.mutate(Messages.encodeReport(report));
        return { kind: 'guided', guidance: Messages.decodeGuidance(response) };
      }),
    acquirePermits: (address, request) =>
      PeerCalls.runCall(async () => {
        const response = await createPeerCaller(address, quotaTimeoutMs).lendPermits.mutate(
          request,
        );
        return { kind: 'granted', granted: Messages.decodeGrantedPermits(response) };
      }),
    reportCrashes: (address, crashes) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS);
        await caller.reportCrashes.mutate({ crashes: crashes.slice(-Messages.MAX_CRASHES) });
        return { kind: 'counted' };
      }),
    reportAnswers: (address, answers) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS);
        await caller.reportAnswers.mutate({ answers: answers.slice(-Messages.MAX_CRASHES) });
        return { kind: 'counted' };
      }),
    reportBrittle: (address, report) =>
      PeerCalls.runCall(async () => {
        await createPeerCaller(address, CALL_TIMEOUT_MS).reportBrittle.mutate(report);
        return { kind: 'counted' };
      }),
    exchangeBlocks: (address, blocks) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS);
        const response = await caller.exchangeBlocks.mutate(Messages.encodeBlocks(blocks));
        return { kind: 'blocks', blocks: Messages.blocksSchema.parse(response).blocks };
      }),
    ...PartClients.createPartCalls(createPeerCaller, CALL_TIMEOUT_MS),
    findContact: ContactClients.createContactCall(createPeerCaller, contactTimeoutMs),
    ...OriginClients.createOriginCalls(createPeerCaller, CALL_TIMEOUT_MS),
    exchangeRoom: (address, message) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS);
        const response = await caller.exchangeRoom.mutate(RoomMessages.encodeMessage(message));
        return { kind: 'facts', facts: RoomMessages.factsSchema.parse(response).facts };
      }),
    readRecords: (address, query) =>
      PeerCalls.runCall(async () => {
        const caller = createPeerCaller(address, CALL_TIMEOUT_MS + (query.waitMs ?? 0));
        const request = Messages.encodeRecordsRequest(query);
        return Messages.decodeRecords(await caller.readRecords.mutate(request));
      }),
    close: () => dispatcher.destroy(),
  };
}
