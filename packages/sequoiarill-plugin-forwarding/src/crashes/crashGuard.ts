/** Keeps requests that crash targets away from them: by their content, and by the parts of their prompts. */
import * as Crypto from 'node:crypto';

import type {
  Clock,
  Directory,
  ForwardingTarget,
  ForwardingWire,
  KeyValueStore,
  Metrics as MetricsWriter,
  PartCalls,
  RouterPeers,
} from '@sequoiarill/types';

import * as Events from '../events';
import type { ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as Incarnations from '../targets/targetIncarnation';
import * as CrashReports from './crashReports';
import * as DisconnectChecks from './disconnectCheck';
import type { BrokenRun, DisconnectCheckOptions } from './disconnectCheck';
import * as PartReports from './partReports';
import type { PartRequest } from './partBlockReports';
import type { ExitCheck } from './exitCheck';
import { PART_CRASH_WINDOW_MS } from './partRuns';
import * as EndWatches from './endWatch';
import type { EndVerdict, EndWatchOptions } from './endWatch';
import * as TargetRuns from './targetRuns';
import type { KeptRequest, TargetRun } from './targetRuns';

/** Why a request is sent to no target. */
export interface BlockedRequest {
  readonly reason: string;
  readonly retryAfterSeconds: number;
}

export interface CrashGuard {
  /** Undefined where the request may be sent now. */
  readonly findBlock: (request: ForwardRequest) => BlockedRequest | undefined;
  /** Whether the request should wait, as the routers are being asked whether it may be sent. */
  readonly isHeld: (request: ForwardRequest) => boolean;
  /** Waits until it is known whether the request may be sent, its caller has left, or its time is up. */
  readonly waitForInquiry: (request: ForwardRequest) => Promise<void>;
  /** Records an attempt that is being sent; `cancel` is called where it is to be taken back, as it is blocked by now. */
  readonly startRun: (
    request: ForwardRequest,
    target: ForwardingTarget,
    cancel: () => void,
  ) => TargetRun;
  /** Records a complete answer to the content. */
  readonly recordAnswer: (content: string) => void;
  /** Records that the target disconnected during a run; a crash if it has terminated. */
  readonly recordDisconnect: (run: BrokenRun) => Promise<void>;
  /** Whether the target has terminated. */
  readonly hasExited: (target: ForwardingTarget) => Promise<boolean>;
  readonly contents: CrashReports.CrashReports;
  readonly parts: PartReports.PartReports;
  /** Applies changed entries of the store. */
  readonly applyDirectory: () => void;
  /** Retries pending writes and reports until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export interface CrashGuardOptions extends Pick<
  DisconnectCheckOptions & EndWatchOptions,
  'checkExit' | 'checkAnswer' | 'checkOthers' | 'isBrittle' | 'readContact' | 'readIdentity'
> {
  readonly clock: Clock;
  /** Also tells of a process that is about to close its listener. */
  readonly checkEnd: ExitCheck;
  readonly nextRandom: () => number;
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly directory: Pick<Directory, 'isUpToDate' | 'listEntries' | 'findCurrent'>;
  readonly peers: Pick<
    RouterPeers,
    'self' | 'listRouters' | 'listNearest' | 'reportCrashes' | 'reportAnswers' | 'exchangeBlocks'
  > &
    PartCalls;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<MetricsWriter, 'addCount' | 'recordTiming'>;
}

/** Reason, for log lines and callers, of refusing a request whose content is blocked. */
export const BLOCKED_REASON = 'targets ended as they began to run it';
/** The same where a part of its prompt is blocked. */
export const PART_BLOCKED_REASON = 'targets ended as they began to answer a part of its prompt';

const RETRY_INTERVAL_MS = 500;
const HOLD_POLL_MS = 50;
const SWEEP_MS = 100;
const MS_PER_SECOND = 1_000;
/** Nothing is gained by coming back earlier, and a block that was lifted is noticed soon. */
const PART_RETRY_SECONDS = 30;

/** Ids that are keys of the store and fields of messages as they are. */
const PLAIN_ID = /^[\w-]{1,64}$/;
const DIGEST_LENGTH = 32;

function formatPartId(id: string): string {
  if (PLAIN_ID.test(id)) return id;
  return Crypto.createHash('sha256').update(id).digest('hex').slice(0, DIGEST_LENGTH);
}

function buildPartRequest({ id, promptParts, organisation = '' }: KeptRequest): PartRequest {
  return { id, organisation, parts: promptParts.map((part) => formatPartId(part.id)) };
}

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, log } = options;
  const contents = CrashReports.createCrashReports({ ...options, logFailure, runAsync });
  const targetRuns = TargetRuns.createTargetRuns(clock);
  const parts = PartReports.createPartReports({
    ...options,
    logFailure,
    runAsync,
    onBlocked: () => targetRuns.cancelWaiting(isBlocked),
  });

  function logFailure(peer: string, reason: string): void {
    log.logEvent(Events.PEER_NOT_TOLD, { peer, reason });
  }

  function runAsync(calls: readonly Promise<unknown>[]): void {
    Promise.all(calls).catch((error: unknown) => logFailure('all', String(error)));
  }

  const isHeld = (request: ForwardRequest): boolean =>
    request.promptParts.length > 0 && parts.isHeld(buildPartRequest(request));

  const recordDisconnect = DisconnectChecks.createDisconnectCheck({
    ...options,
    runAsync,
    recordCrash(run, isOfContent) {
      if (targetRuns.takeRun(run)) countCrash(run, 'ended', isOfContent);
      targetRuns.takeEnded(run.target).forEach((ended) => recordEnd(ended, 'ended'));
    },
  });

  const endWatch = EndWatches.createEndWatch({
    ...options,
    runs: targetRuns,
    runAsync,
    recordEnd,
    recordUncounted: (verdict) =>
      options.metrics.addCount(Metrics.RUN_ENDS, 1, { verdict, counted: 'no' }),
  });

  function countCrash(run: BrokenRun, verdict: EndVerdict, isOfContent: boolean): void {
    log.logEvent(Events.TARGET_ENDED, {
      ...DisconnectChecks.formatRun(run),
      isOfContent,
      verdict,
    });
    options.metrics.addCount(Metrics.RUN_ENDS, 1, { verdict, counted: 'yes' });
    const target = Incarnations.formatIncarnation(run.target);
    if (isOfContent) contents.recordCrash(run.request.contentKey, target);
    parts.recordCrash(buildPartRequest(run.request), target, run);
  }

  /** Counts a run whose end no connection has shown. A silence may end, so that no content is blocked for it. */
  function recordEnd(run: BrokenRun, verdict: EndVerdict): void {
    if (DisconnectChecks.isPast(run, PART_CRASH_WINDOW_MS)) return;
    const isOfContent =
      verdict !== 'silent' &&
      !options.isBrittle(run.target.service) &&
      !DisconnectChecks.isPast(run, DisconnectChecks.CONTENT_CRASH_WINDOW_MS);
    countCrash(run, verdict, isOfContent);
  }

  function isBlocked(request: KeptRequest): boolean {
    return parts.isBlocked(buildPartRequest(request));
  }

  async function runSweeps(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.waitMs(SWEEP_MS, signal);
      if (!signal.aborted) endWatch.checkTargets();
    }
  }

  async function runRetries(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.waitMs(RETRY_INTERVAL_MS, signal);
      if (signal.aborted) return;
      await Promise.all([contents.sendPending(), parts.sendPending()]);
    }
  }

  return {
    findBlock(request) {
      const blockedMs = contents.getBlockedMs(request.contentKey);
      if (blockedMs > 0) {
        const retryAfterSeconds = Math.ceil(blockedMs / MS_PER_SECOND);
        return { reason: BLOCKED_REASON, retryAfterSeconds };
      }
      const block = parts.findBlock(buildPartRequest(request));
      if (block === undefined) return undefined;
      options.metrics.addCount(Metrics.PART_REFUSED, 1, { part: block.part });
      const reason = `${PART_BLOCKED_REASON}: ${block.part}`;
      return { reason, retryAfterSeconds: PART_RETRY_SECONDS };
    },
    isHeld,
    async waitForInquiry(request) {
      const { closed, expiresAtMs } = request;
      const isWaiting = () => !closed.aborted && clock.getNowMs() < expiresAtMs;
      while (isWaiting() && isHeld(request)) await clock.waitMs(HOLD_POLL_MS, closed);
    },
    startRun(request, target, cancel) {
      const run = parts.startRun(buildPartRequest(request));
      return targetRuns.startRun(request, target, run, cancel);
    },
    recordAnswer: contents.recordAnswer,
    recordDisconnect,
    hasExited: async (target) => (await options.checkEnd(target)) === 'ended',
    contents,
    parts,
    applyDirectory() {
      endWatch.applyDirectory();
      contents.applyDirectory();
      parts.applyDirectory();
    },
    async run(signal) {
      await Promise.all([runSweeps(signal), runRetries(signal)]);
    },
  };
}
