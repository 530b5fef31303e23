/**
 * Counts crashes of targets by the content of the requests that they ran, over all routers.
 *
 * Each crash is reported to two aggregators of its content. All routers rank each other alike, so nobody is
 * elected, and the crash of a zone costs two messages for each request that was lost there, in a fleet of any
 * size. Blocked contents are rare and are told to all: at once to some peers, and through the store to
 * everybody, also to routers that start later. While the store is away, routers ask each other.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  ContentAnswer,
  ContentBlock,
  Crash,
  CrashHandlers,
  Directory,
  ForwardingTarget,
  ForwardingWire,
  KeyValueStore,
  RouterPeers,
} from '@sequoiarill/types';

import type { BoundedLog } from '../boundedLog';
import type { ForwardRequest } from '../forwardRequest';
import * as Events from '../events';
import * as TargetLives from '../targets/targetLife';
import * as BlockEntries from './blockEntry';
import * as CrashAggregators from './crashAggregators';
import type { EndedCheck } from './endedCheck';

export interface CrashReports {
  /** How much longer no router sends the content to a target, milliseconds; 0 where it may. */
  readonly getBlockedMs: (content: string) => number;
  /** The content was answered in whole. */
  readonly recordAnswer: (content: string) => void;
  /** The target broke off as it began to run the request; counted where it has ended. */
  readonly recordDisconnect: (request: ForwardRequest, target: ForwardingTarget) => Promise<void>;
  readonly handlers: CrashHandlers;
  /** Takes in what the store tells. */
  readonly applyDirectory: () => void;
  /** Keeps what was not written or told yet going until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
  readonly dumpState: () => { readonly blocked: number; readonly suspects: number };
}

export interface CrashReportsOptions {
  readonly clock: Clock;
  readonly nextRandom: () => number;
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly directory: Pick<Directory, 'isUpToDate' | 'listEntries'>;
  readonly peers: Pick<
    RouterPeers,
    'self' | 'listRouters' | 'listNearest' | 'reportCrashes' | 'reportAnswers' | 'exchangeBlocks'
  >;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
  readonly log: Pick<BoundedLog, 'logEvent'>;
  readonly checkEnded: EndedCheck;
}

/** Peers that are told of a block at once: all in a small fleet, enough to pass it on in a large one. */
const TOLD_AT_ONCE = 8;
/** A crash that comes so long after the one before shows that a router was not told, milliseconds. */
const RETOLD_MS = 3_000;
/** Pause before a target that still took a connection is checked once more, milliseconds. */
const CHECK_AGAIN_MS = 150;
const INTERVAL_MS = 500;

export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const { clock, directory, peers, log, nextRandom } = options;
  const tracker = Decisions.createCrashTracker();
  const entries = BlockEntries.createBlockEntries(options);
  const aggregators = CrashAggregators.createCrashAggregators({ clock, peers, logFailure });
  const readNewEntries = BlockEntries.createEntryReader(options.wire, directory);

  function logBlock({ content, firstAgeMs }: ContentBlock, source: string): void {
    const sinceMs = Math.round(firstAgeMs);
    log.logEvent(Events.CONTENT_BLOCKED, { content, source, firstCrashAgeMs: sinceMs });
  }

  function logFailure(peer: string, reason: string): void {
    log.logEvent(Events.PEER_NOT_TOLD, { peer, reason });
  }

  /** The block that others are to be told after this crash; undefined where there is none. */
  function countCrash(crash: Crash): ContentBlock | undefined {
    const nowMs = clock.getNowMs();
    const before = tracker.findBlock(crash.content, nowMs);
    const block = tracker.recordCrash(crash, nowMs);
    if (block === undefined || (before?.lastAgeMs ?? RETOLD_MS) < RETOLD_MS) return undefined;
    logBlock(block, 'counted');
    return block;
  }

  function recordBlocks(blocks: readonly ContentBlock[], source: string): void {
    for (const block of blocks) {
      const verdict = tracker.recordBlock(block, clock.getNowMs());
      if (verdict === 'news') logBlock(block, source);
      if (verdict === 'refuted') startAnswerReport(block.content);
    }
  }

  async function sendBlocks(peer: string, blocks: readonly ContentBlock[]): Promise<void> {
    const outcome = await peers.exchangeBlocks(peer, blocks);
    if (outcome.kind === 'failed') logFailure(peer, outcome.reason);
    else recordBlocks(outcome.blocks, peer);
  }

  function startAll(calls: readonly Promise<unknown>[]): void {
    Promise.all(calls).catch((error: unknown) => logFailure('all', String(error)));
  }

  function reportBlock(block: ContentBlock): void {
    entries.addEntry({ kind: 'block', block });
    const told = peers.listNearest().slice(0, TOLD_AT_ONCE);
    startAll([...told.map((peer) => sendBlocks(peer, [block])), entries.writeNext()]);
  }

  async function reportCrash(crash: Crash): Promise<void> {
    const block = countCrash(crash);
    const isAggregator = await aggregators.sendReport(crash.content, (router, ageMs) =>
      peers.reportCrashes(router, [{ ...crash, ageMs }]),
    );
    if (isAggregator && block !== undefined) reportBlock(block);
  }

  function recordCrash(
    { id, contentKey: content }: ForwardRequest,
    target: ForwardingTarget,
  ): void {
    log.logEvent(Events.TARGET_ENDED, { request: id, content, target: target.id });
    startAll([reportCrash({ content, target: TargetLives.formatLife(target), ageMs: 0 })]);
  }

  function logNotCounted(
    { id, contentKey: content }: ForwardRequest,
    target: ForwardingTarget,
    verdict: 'alive' | 'silent',
  ): void {
    log.logEvent(Events.BREAK_NOT_COUNTED, { request: id, content, target: target.id, verdict });
  }

  /** A process that ends may still take a connection while it closes the others. */
  async function checkAgain(request: ForwardRequest, target: ForwardingTarget): Promise<void> {
    await clock.waitMs(CHECK_AGAIN_MS);
    const verdict = await options.checkEnded(target);
    if (verdict === 'ended') recordCrash(request, target);
    else logNotCounted(request, target, verdict);
  }

  function startAnswerReport(content: string): void {
    const report = aggregators.sendReport(content, (router, ageMs) =>
      peers.reportAnswers(router, [{ content, ageMs }]),
    );
    startAll([report]);
  }

  /** Those that count for the content take the block back everywhere. */
  function recordAnswer(answer: ContentAnswer): 'nothing' | 'crashes' | 'block' {
    const { content, ageMs } = answer;
    const nowMs = clock.getNowMs();
    const verdict = tracker.recordAnswer(content, nowMs - ageMs, nowMs);
    if (verdict !== 'block' || !aggregators.isAggregator(content)) return verdict;
    log.logEvent(Events.CONTENT_RELEASED, { content });
    entries.addEntry({ kind: 'answer', answer });
    const told = peers.listNearest().slice(0, TOLD_AT_ONCE);
    const calls = told.map((peer) => peers.reportAnswers(peer, [answer]));
    startAll([...calls, entries.writeNext()]);
    return verdict;
  }

  function applyEntry(entry: BlockEntries.BlockEntry): void {
    if (entry.kind === 'block') recordBlocks([entry.block], 'store');
    else recordAnswer(entry.answer);
  }

  return {
    getBlockedMs: (content) => tracker.getBlockedMs(content, clock.getNowMs()),
    recordAnswer(content) {
      if (recordAnswer({ content, ageMs: 0 }) !== 'nothing') startAnswerReport(content);
    },
    async recordDisconnect(request, target) {
      if ((await options.checkEnded(target)) === 'ended') recordCrash(request, target);
      else startAll([checkAgain(request, target)]);
    },
    handlers: {
      handleCrashes(crashes) {
        for (const crash of crashes) {
          const block = countCrash(crash);
          if (block !== undefined) reportBlock(block);
        }
      },
      handleAnswers: (answers) => answers.forEach(recordAnswer),
      handleBlocks(blocks) {
        recordBlocks(blocks, 'peer');
        return tracker.listBlocks(clock.getNowMs());
      },
    },
    applyDirectory: () => readNewEntries().forEach(applyEntry),
    async run(signal) {
      while (!signal.aborted) {
        await clock.waitMs(INTERVAL_MS, signal);
        await Promise.all([entries.writeNext(), aggregators.sendAgain()]);
        if (!directory.isUpToDate() && !signal.aborted) {
          const asked = samplePeers(peers.listNearest(), nextRandom);
          const blocks = tracker.listBlocks(clock.getNowMs());
          await Promise.all(asked.map((peer) => sendBlocks(peer, blocks)));
        }
      }
    },
    dumpState() {
      const blocked = tracker.listBlocks(clock.getNowMs()).length;
      return { blocked, suspects: tracker.countSuspects() };
    },
  };
}

/**
 * One of its own zone, which is there when the zone is cut off, and any other one, so that news of other
 * zones comes in.
 */
function samplePeers(
  [nearest, ...others]: readonly string[],
  nextRandom: () => number,
): readonly string[] {
  const other = others[Math.floor(nextRandom() * others.length)];
  return [nearest, other].filter((peer) => peer !== undefined);
}
