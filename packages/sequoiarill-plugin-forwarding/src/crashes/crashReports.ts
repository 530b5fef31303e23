/**
 * Counts crashes of targets by the content of the requests that they ran, over all routers.
 *
 * Each crash goes to the routers that count for its content: all routers rank each other alike, so nobody
 * is elected, and a crash of many targets costs a few messages for each request that was lost there, however many
 * routers there are. What they find to blame is rare, and is told to all: at once to some peers, and
 * through the store to everybody, also to routers that start later. While the store is away, routers ask
 * each other.
 */
import * as Decisions from '@sequoiarill/decisions';
import type {
  Clock,
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

export interface CrashReports {
  /** How much longer no router sends the content to a target, milliseconds; 0 where it may. */
  readonly getBlockedMs: (content: string) => number;
  /** The content was answered in whole. */
  readonly recordAnswer: (content: string) => void;
  /** The target broke off as it began to run the request; counted where it has ended. */
  readonly recordBreak: (request: ForwardRequest, target: ForwardingTarget) => Promise<void>;
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
  readonly directory: Pick<Directory, 'hasNews' | 'listEntries'>;
  readonly peers: Pick<
    RouterPeers,
    'self' | 'listRouters' | 'listNearest' | 'reportCrashes' | 'exchangeBlocks'
  >;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
  readonly log: Pick<BoundedLog, 'logEvent'>;
  readonly checkEnded: (target: ForwardingTarget) => Promise<boolean>;
}

/** Routers that count for a content; one of them may be cut off or end at any moment. */
const COUNTERS = 2;
/** Routers that are tried as such, one after the other. */
const MAX_TRIES = 6;
/** Peers that are told of a block at once: all in a small fleet, enough to pass it on in a large one. */
const TOLD_AT_ONCE = 8;
const INTERVAL_MS = 500;

export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const { clock, directory, peers, log, nextRandom } = options;
  const ledger = Decisions.createCrashLedger();
  const entries = BlockEntries.createBlockEntries(options);
  const prefix = BlockEntries.formatPrefix(options.wire);
  /** Revisions of the store's entries that were taken in, by key. */
  const seenRevisions = new Map<string, number>();

  function logBlock({ content, firstAgeMs }: ContentBlock, source: string): void {
    const sinceMs = Math.round(firstAgeMs);
    log.logEvent(Events.CONTENT_BLOCKED, { content, source, firstCrashAgeMs: sinceMs });
  }

  function logFailure(peer: string, reason: string): void {
    log.logEvent(Events.PEER_NOT_TOLD, { peer, reason });
  }

  /** The block that this crash brings about; undefined where there is none, or was one before. */
  function countCrash(crash: Crash): ContentBlock | undefined {
    const nowMs = clock.getNowMs();
    const wasBlocked = ledger.getBlockedMs(crash.content, nowMs) > 0;
    const block = ledger.recordCrash(crash, nowMs);
    if (wasBlocked || block === undefined) return undefined;
    logBlock(block, 'counted');
    return block;
  }

  function recordBlocks(blocks: readonly ContentBlock[], source: string): void {
    for (const block of blocks) {
      if (ledger.recordBlock(block, clock.getNowMs())) logBlock(block, source);
    }
  }

  async function sendBlocks(peer: string, blocks: readonly ContentBlock[]): Promise<void> {
    const outcome = await peers.exchangeBlocks(peer, blocks);
    if (outcome.kind === 'failed') logFailure(peer, outcome.reason);
    else recordBlocks(outcome.blocks, peer);
  }

  function reportBlock(block: ContentBlock): void {
    entries.addBlock(block);
    const told = peers.listNearest().slice(0, TOLD_AT_ONCE);
    Promise.all([...told.map((peer) => sendBlocks(peer, [block])), entries.writeNext()]).catch(
      (error: unknown) => logFailure('all', String(error)),
    );
  }

  /** Those that rank first for the content; a router that nobody answers counts for itself. */
  async function reportCrash(crash: Crash, block: ContentBlock | undefined): Promise<void> {
    const addresses = peers.listRouters().map(({ address }) => address);
    const ranked = Decisions.sortByRank(addresses, crash.content).slice(0, MAX_TRIES);
    let counters = 0;
    for (const router of ranked) {
      if (counters === COUNTERS) return;
      if (router === peers.self) {
        counters += 1;
        if (block !== undefined) reportBlock(block);
      } else {
        const outcome = await peers.reportCrashes(router, [crash]);
        if (outcome.kind === 'counted') counters += 1;
        else logFailure(router, outcome.reason);
      }
    }
    if (counters === 0 && block !== undefined) reportBlock(block);
  }

  return {
    getBlockedMs: (content) => ledger.getBlockedMs(content, clock.getNowMs()),
    recordAnswer: (content) => ledger.recordAnswer(content, clock.getNowMs()),
    async recordBreak({ id, contentKey: content }, target) {
      if (!(await options.checkEnded(target))) return;
      log.logEvent(Events.TARGET_ENDED, { request: id, content, target: target.id });
      const crash = { content, target: TargetLives.formatLife(target), ageMs: 0 };
      reportCrash(crash, countCrash(crash)).catch((error: unknown) =>
        logFailure('all', String(error)),
      );
    },
    handlers: {
      handleCrashes(crashes) {
        for (const crash of crashes) {
          const block = countCrash(crash);
          if (block !== undefined) reportBlock(block);
        }
      },
      handleBlocks(blocks) {
        recordBlocks(blocks, 'peer');
        return ledger.listBlocks(clock.getNowMs());
      },
    },
    applyDirectory() {
      const stored = directory.listEntries(prefix);
      if (stored.length === 0) seenRevisions.clear();
      for (const { key, revision, value } of stored) {
        if (seenRevisions.get(key) !== revision) {
          seenRevisions.set(key, revision);
          const block = BlockEntries.decodeBlock(key.slice(prefix.length), value);
          if (block !== undefined) recordBlocks([block], 'store');
        }
      }
    },
    async run(signal) {
      while (!signal.aborted) {
        await clock.waitMs(INTERVAL_MS, signal);
        await entries.writeNext();
        if (!directory.hasNews() && !signal.aborted) {
          const asked = samplePeers(peers.listNearest(), nextRandom);
          const blocks = ledger.listBlocks(clock.getNowMs());
          await Promise.all(asked.map((peer) => sendBlocks(peer, blocks)));
        }
      }
    },
    dumpState: () => ({
      blocked: ledger.listBlocks(clock.getNowMs()).length,
      suspects: ledger.countSuspects(),
    }),
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
