/** Reads the directory of other routers and borrows repeats of them, over tRPC. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  BlockExchangeOutcome,
  Clock,
  ContentAnswer,
  ContentBlock,
  Crash,
  CrashReportOutcome,
  GuidanceOutcome,
  HeaderNames,
  RetryQuotaOutcome,
  RetryQuotaRequest,
  RolloutReport,
  PermitsOutcome,
  PermitsRequest,
} from '@sequoiarill/types';
import * as TrpcClient from '@trpc/client';
import * as Undici from 'undici';

import * as Messages from './peerMessages';
import type { PeerAnswer } from './peerMessages';
import type { PeerRouter } from './peerServer';

export interface PeerClient {
  /** `waitMs`: how long the peer may wait for news. */
  readonly readRecords: (
    address: string,
    afterRevision: number,
    waitMs?: number,
  ) => Promise<PeerAnswer>;
  readonly borrowRepeats: (address: string, loan: RetryQuotaRequest) => Promise<RetryQuotaOutcome>;
  readonly sendReport: (address: string, report: RolloutReport) => Promise<GuidanceOutcome>;
  readonly reportCrashes: (address: string, crashes: readonly Crash[]) => Promise<CrashReportOutcome>;
  readonly reportAnswers: (
    address: string,
    answers: readonly ContentAnswer[],
  ) => Promise<CrashReportOutcome>;
  readonly exchangeBlocks: (
    address: string,
    blocks: readonly ContentBlock[],
  ) => Promise<BlockExchangeOutcome>;
  readonly borrowPermits: (address: string, question: PermitsRequest) => Promise<PermitsOutcome>;
  readonly close: () => Promise<void>;
}

/** A peer that lives answers within some milliseconds; one that is cut off must not hold others up. */
const CALL_TIMEOUT_MS = 600;
const CONNECT_TIMEOUT_MS = 400;
/** A caller's stream stands still meanwhile, milliseconds; another peer can be asked. */
const LOAN_TIMEOUT_MS = 80;
/** To one peer: a question that waits for news must not hold up another one. */
const CONNECTIONS = 2;

export function createPeerClient(
  names: Pick<HeaderNames, 'expectedTarget'>,
  { getRunningMs }: Pick<Clock, 'getRunningMs'>,
  loanTimeoutMs = LOAN_TIMEOUT_MS,
): PeerClient {
  const dispatcher = new Undici.Agent({
    connections: CONNECTIONS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });

  /**
   * Failure: a router is gone, a target has its address now, and runs calls that no caller has sent. No target
   * is called like a router's address, so that all refuse them.
   */
  async function sendCall(url: string, body: string, timeoutMs: number) {
    const limit = new AbortController();
    const stopTimer = Kernel.startRunningTimer(getRunningMs, timeoutMs, () =>
      limit.abort(new Error(`no answer within ${timeoutMs} ms`)),
    );
    try {
      return await sendWithin(url, body, limit.signal);
    } finally {
      stopTimer();
    }
  }

  async function sendWithin(url: string, body: string, signal: AbortSignal) {
    const response = await Undici.request(url, {
      method: 'POST',
      body,
      headers: { 'content-type': 'application/json', [names.expectedTarget]: new URL(url).host },
      dispatcher,
      signal,
    });
    const text = await response.body.text();
    return {
      ok: response.statusCode < 400,
      status: response.statusCode,
      json: async () => JSON.parse(text) as unknown,
    };
  }

  function createCaller(address: string, timeoutMs: number) {
    const link = TrpcClient.httpLink<PeerRouter>({
      url: `http://${address}`,
      fetch: (input, init) => sendCall(String(input), String(init?.body ?? ''), timeoutMs),
    });
    return TrpcClient.createTRPCClient<PeerRouter>({ links: [link] });
  }

  return {
    borrowRepeats: (address, loan) =>
      runCall(async () => {
        const repeats = Math.min(loan.repeats, Messages.MAX_LOAN);
        const caller = createCaller(address, loanTimeoutMs);
        const answer = await caller.lendRepeats.mutate({ ...loan, repeats });
        return { kind: 'lent', repeats: Messages.loanAnswerSchema.parse(answer).repeats };
      }),
    sendReport: (address, report) =>
      runCall(async () => {
        const caller = createCaller(address, CALL_TIMEOUT_MS);
        const answer = await caller.reportRollout.mutate(Messages.encodeReport(report));
        return { kind: 'guided', guidance: Messages.decodeGuidance(answer) };
      }),
    borrowPermits: (address, question) =>
      runCall(async () => {
        const answer = await createCaller(address, loanTimeoutMs).lendPermits.mutate(question);
        return { kind: 'lent', lent: Messages.decodeLentPermits(answer) };
      }),
    reportCrashes: (address, crashes) =>
      runCall(async () => {
        const caller = createCaller(address, CALL_TIMEOUT_MS);
        await caller.reportCrashes.mutate({ crashes: crashes.slice(-Messages.MAX_CRASHES) });
        return { kind: 'counted' };
      }),
    reportAnswers: (address, answers) =>
      runCall(async () => {
        const caller = createCaller(address, CALL_TIMEOUT_MS);
        await caller.reportAnswers.mutate({ answers: answers.slice(-Messages.MAX_CRASHES) });
        return { kind: 'counted' };
      }),
    exchangeBlocks: (address, blocks) =>
      runCall(async () => {
        const caller = createCaller(address, CALL_TIMEOUT_MS);
        const answer = await caller.exchangeBlocks.mutate(Messages.encodeBlocks(blocks));
        return { kind: 'blocks', blocks: Messages.blocksSchema.parse(answer).blocks };
      }),
    readRecords: (address, afterRevision, waitMs = 0) =>
      runCall(async () => {
        const client = createCaller(address, CALL_TIMEOUT_MS + waitMs);
        const answer = await client.readRecords.mutate({ afterRevision, waitMs });
        const { records, seenRevision, ageMs } = Messages.recordsAnswerSchema.parse(answer);
        return {
          kind: 'records',
          seenRevision,
          ageMs,
          records: records.map(({ key, revision, value }) =>
            value === undefined ? { key, revision } : { key, revision, value },
          ),
        };
      }),
    close: () => dispatcher.destroy(),
  };
}

interface FailedCall {
  readonly kind: 'failed';
  readonly reason: string;
}

/** A peer that does not answer, or not as agreed, is an outcome like others. */
async function runCall<Outcome>(call: () => Promise<Outcome>): Promise<Outcome | FailedCall> {
  try {
    return await call();
  } catch (error) {
    return { kind: 'failed', reason: (error as Error).message };
  }
}
