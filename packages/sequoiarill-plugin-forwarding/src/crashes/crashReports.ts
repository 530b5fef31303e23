/**
 * Counts crashes of targets by the content of the requests that they ran, over all routers.
 *
 * Each crash is reported to two aggregators of its content. All routers compute the same ranking, so no
 * election is needed, and the crash of a zone costs two messages per lost request in a fleet of any size.
 * Blocked contents are rare and are sent to every router: at once to some peers, and through the store to
 * all routers, including those that start later. While the store is unavailable, routers query each other.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
  ContentAnswer,
  ContentBlock,
  Crash,
  CrashHandlers,
  Directory,
  ForwardingWire,
  KeyValueStore,
  RouterPeers,
} from '@sequoiarill/types';

import type { RateLimitedLog } from '../rateLimitedLog';
import * as Events from '../events';
import * as BlockEntries from './blockEntry';
import type { BlockEntry } from './blockEntry';
import * as CrashAggregators from './crashAggregators';
import * as PeerSamples from './peerSample';
import * as StoredEntries from './storedEntries';

export interface CrashReports {
  /** Remaining time for which the content is sent to no target, milliseconds; 0 when it is not blocked. */
  readonly getBlockedMs: (content: string) => number;
  /** Records a complete answer to a request with the content. */
  readonly recordAnswer: (content: string) => void;
  /** Records that the target has terminated as it began to run a request with the content. */
  readonly recordCrash: (content: string, target: string) => void;
  readonly handlers: CrashHandlers;
  /** Applies changed entries of the store. */
  readonly applyDirectory: () => void;
  /** Retries pending writes and reports; called again and again. */
  readonly sendPending: () => Promise<void>;
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
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly logFailure: (router: string, reason: string) => void;
  /** Runs calls whose results nothing waits for. */
  readonly runAsync: (calls: readonly Promise<unknown>[]) => void;
}

/** Peers notified of a block at once: all in a small fleet, enough to spread it in a large one. */
const PEERS_NOTIFIED_AT_ONCE = 8;
/** A crash this long after the previous one shows that a router was not notified of the block. */
const RENOTIFY_MS = 3_000;

export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const { clock, directory, peers, log, nextRandom, logFailure, runAsync } = options;
  const tracker = Decisions.createCrashTracker();
  const entries = StoredEntries.createStoredEntries<BlockEntry>({
    prefix: `${options.wire.ownPrefix}blocks/`,
    store: options.store,
    directory,
    getKey: (entry) => (entry.kind === 'block' ? entry.block : entry.answer).content,
    encode: BlockEntries.encodeEntry,
    decode: BlockEntries.decodeEntry,
  });
  const aggregators = CrashAggregators.createCrashAggregators({ clock, peers, logFailure });

  function logBlock({ content, firstAgeMs }: ContentBlock, source: string): void {
    const sinceMs = Math.round(firstAgeMs);
    log.logEvent(Events.CONTENT_BLOCKED, { content, source, firstCrashAgeMs: sinceMs });
  }

  /** The block to announce to other routers after this crash; undefined when there is none. */
  function countCrash(crash: Crash): ContentBlock | undefined {
    const nowMs = clock.getNowMs();
    const before = tracker.findBlock(crash.content, nowMs);
    const block = tracker.recordCrash(crash, nowMs);
    if (block === undefined || (before?.lastAgeMs ?? RENOTIFY_MS) < RENOTIFY_MS) return undefined;
    logBlock(block, 'counted');
    return block;
  }

  function recordBlocks(blocks: readonly ContentBlock[], source: string): void {
    for (const block of blocks) {
      const result = tracker.recordBlock(block, clock.getNowMs());
      if (result === 'news') logBlock(block, source);
      if (result === 'refuted') startAnswerReport(block.content);
    }
  }

  async function sendBlocks(peer: string, blocks: readonly ContentBlock[]): Promise<void> {
    const outcome = await peers.exchangeBlocks(peer, blocks);
    if (outcome.kind === 'failed') logFailure(peer, outcome.reason);
    else recordBlocks(outcome.blocks, peer);
  }

  function reportBlock(block: ContentBlock): void {
    entries.addEntry({ kind: 'block', block });
    const notified = peers.listNearest().slice(0, PEERS_NOTIFIED_AT_ONCE);
    runAsync([...notified.map((peer) => sendBlocks(peer, [block])), entries.writePending()]);
  }

  async function reportCrash(crash: Crash): Promise<void> {
    const block = countCrash(crash);
    const isFirst = aggregators.isAggregator(crash.content);
    if (isFirst && block !== undefined) reportBlock(block);
    const isAggregator = await aggregators.sendReport(crash.content, (router, ageMs) =>
      peers.reportCrashes(router, [{ ...crash, ageMs }]),
    );
    if (!isFirst && isAggregator && block !== undefined) reportBlock(block);
  }

  function startAnswerReport(content: string): void {
    const report = aggregators.sendReport(content, (router, ageMs) =>
      peers.reportAnswers(router, [{ content, ageMs }]),
    );
    runAsync([report]);
  }

  /** The aggregators of the content withdraw its block on all routers. */
  function recordAnswer(answer: ContentAnswer): 'nothing' | 'crashes' | 'block' {
    const { content, ageMs } = answer;
    const nowMs = clock.getNowMs();
    const result = tracker.recordAnswer(content, nowMs - ageMs, nowMs);
    if (result !== 'block' || !aggregators.isAggregator(content)) return result;
    log.logEvent(Events.CONTENT_RELEASED, { content });
    entries.addEntry({ kind: 'answer', answer });
    const notified = peers.listNearest().slice(0, PEERS_NOTIFIED_AT_ONCE);
    const calls = notified.map((peer) => peers.reportAnswers(peer, [answer]));
    runAsync([...calls, entries.writePending()]);
    return result;
  }

  function applyEntry(entry: BlockEntry): void {
    if (entry.kind === 'block') recordBlocks([entry.block], 'store');
    else recordAnswer(entry.answer);
  }

  return {
    getBlockedMs: (content) => tracker.getBlockedMs(content, clock.getNowMs()),
    recordAnswer(content) {
      if (recordAnswer({ content, ageMs: 0 }) !== 'nothing') startAnswerReport(content);
    },
    recordCrash: (content, target) => runAsync([reportCrash({ content, target, ageMs: 0 })]),
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
    applyDirectory: () => entries.listChanged().forEach(applyEntry),
    async sendPending() {
      await Promise.all([entries.writePending(), aggregators.sendPending()]);
      if (directory.isUpToDate()) return;
      const sample = PeerSamples.samplePeers(peers.listNearest(), nextRandom);
      const blocks = tracker.listBlocks(clock.getNowMs());
      await Promise.all(sample.map((peer) => sendBlocks(peer, blocks)));
    },
    dumpState() {
      const blocked = tracker.listBlocks(clock.getNowMs()).length;
      return { blocked, suspects: tracker.countSuspects() };
    },
  };
}
