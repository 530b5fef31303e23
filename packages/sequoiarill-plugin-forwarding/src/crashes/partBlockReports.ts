/**
 * Blocked parts of prompts as far as this router knows, and how routers tell each other of them: at once to some
 * peers, through the store to all, and between peers while the store is unavailable. After a while the first
 * router by rank lets a single request through as a trial.
 */
import * as Decisions from '@sequoiarill/decisions';
import type { PartHolder } from '@sequoiarill/decisions';
import type {
  Clock,
  Directory,
  ForwardingWire,
  KeyValueStore,
  PartAnswer,
  PartBlock,
  PartCalls,
  PartCrash,
  RouterPeers,
} from '@sequoiarill/types';

import * as Events from '../events';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as BlockEntries from './blockEntry';
import type { PartEntry } from './blockEntry';
import * as PartTrials from './partTrials';
import * as PeerSamples from './peerSample';
import * as StoredEntries from './storedEntries';

/** A request as far as its prompt is concerned. */
export interface PartRequest extends PartHolder {
  readonly id: string;
}

export interface PartBlockReports {
  /** The block that refuses the request; undefined where it may be sent, also as a trial. */
  readonly findBlock: (request: PartRequest) => PartBlock | undefined;
  /** Records that the request is being sent: it is not sent once more as a trial. */
  readonly recordSend: (request: PartRequest) => void;
  /** Blocks that refuse such a request, apart from trials. */
  readonly listMatching: (holder: PartHolder) => readonly PartBlock[];
  readonly hasBlock: (part: string) => boolean;
  /** Whether a block of another part explains the crashes of this one. */
  readonly isExplained: (block: PartBlock) => boolean;
  /** Whether the part is not blocked, or the block refuses requests that the known one does not. */
  readonly isNews: (block: PartBlock) => boolean;
  /** Adds a block that was decided here and reports it to these routers. */
  readonly addBlock: (block: PartBlock, routers: readonly string[]) => void;
  /** Records blocks that other routers know. */
  readonly recordBlocks: (blocks: readonly PartBlock[], source: string) => void;
  /** Lifts the block of the part, if the answer refutes it, and reports that. */
  readonly recordAnswer: (answer: PartAnswer) => void;
  readonly recordCrash: (crash: PartCrash) => void;
  readonly listBlocks: () => readonly PartBlock[];
  readonly applyDirectory: () => void;
  /** Renews and writes entries, and exchanges blocks with peers while the store is unavailable. */
  readonly sendPending: () => Promise<void>;
}

export interface PartBlockReportsOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly nextRandom: () => number;
  readonly wire: Pick<ForwardingWire, 'ownPrefix'>;
  readonly directory: Pick<Directory, 'isUpToDate' | 'listEntries'>;
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters' | 'listNearest'> &
    Pick<PartCalls, 'reportPartAnswers' | 'exchangePartBlocks'>;
  readonly store: Pick<KeyValueStore, 'grantLease' | 'writeTransaction'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly logFailure: (router: string, reason: string) => void;
  /** A part was blocked here. */
  readonly onBlocked: (part: string) => void;
  /** Runs calls whose results nothing waits for. */
  readonly runAsync: (calls: readonly Promise<unknown>[]) => void;
}

/** Peers notified at once: all in a small fleet, enough to spread it in a large one. */
const PEERS_NOTIFIED_AT_ONCE = 8;
/** Routers that write an answer to the store; all of them pass it on. */
const ANSWER_WRITERS = 2;
/** Well within the lease of an entry. */
const RENEWAL_MS = 240_000;

export function createPartBlockReports(options: PartBlockReportsOptions): PartBlockReports {
  const { clock, directory, peers, log, logFailure, runAsync } = options;
  const blocks = Decisions.createPartBlocks();
  const trials = PartTrials.createPartTrials(clock);
  const renewedAtMs = new Map<string, number>();
  let hasExchanged = false;
  const entries = StoredEntries.createStoredEntries<PartEntry>({
    prefix: `${options.wire.ownPrefix}partBlocks/`,
    store: options.store,
    directory,
    getKey: (entry) => (entry.kind === 'block' ? entry.block : entry.answer).part,
    encode: BlockEntries.encodePartEntry,
    decode: BlockEntries.decodePartEntry,
  });

  function logBlock(block: PartBlock, source: string): void {
    const { part, others, organisation, firstAgeMs, failedTrials } = block;
    const firstCrashAgeMs = Math.round(firstAgeMs);
    const fields = { part, others, organisation, firstCrashAgeMs, failedTrials };
    log.logEvent(Events.PART_BLOCKED, { ...fields, source });
  }

  function listNotified(): readonly string[] {
    return peers.listNearest().slice(0, PEERS_NOTIFIED_AT_ONCE);
  }

  function isAmongFirst(part: string, count: number): boolean {
    const addresses = peers.listRouters().map(({ address }) => address);
    const first = Decisions.sortByRank(addresses, part).slice(0, count);
    return first.length === 0 || first.includes(peers.self);
  }

  async function sendBlocks(peer: string, sent: readonly PartBlock[]): Promise<void> {
    const outcome = await peers.exchangePartBlocks(peer, sent);
    if (outcome.kind === 'failed') {
      logFailure(peer, outcome.reason);
      return;
    }
    hasExchanged = true;
    recordBlocks(outcome.blocks, peer);
  }

  function addEntry(block: PartBlock): void {
    renewedAtMs.set(block.part, clock.getNowMs());
    entries.addEntry({ kind: 'block', block });
  }

  function applyBlock(block: PartBlock) {
    const recorded = blocks.recordBlock(block, clock.getNowMs());
    options.onBlocked(block.part);
    return recorded;
  }

  function reportBlock(block: PartBlock, routers = listNotified()): void {
    logBlock(block, 'counted');
    addEntry(block);
    const calls = routers.map((peer) => sendBlocks(peer, [block]));
    runAsync([...calls, entries.writePending()]);
  }

  function reportAnswer(answer: PartAnswer): void {
    if (isAmongFirst(answer.part, ANSWER_WRITERS)) entries.addEntry({ kind: 'answer', answer });
    const calls = listNotified().map((peer) => peers.reportPartAnswers(peer, [answer]));
    runAsync([...calls, entries.writePending()]);
  }

  function recordBlocks(received: readonly PartBlock[], source: string): void {
    for (const block of received) {
      const { result, answeredAgeMs } = applyBlock(block);
      if (result === 'news' || result === 'changed') logBlock(block, source);
      if (result === 'refuted') reportAnswer({ part: block.part, ageMs: answeredAgeMs });
    }
  }

  function recordAnswer({ part, ageMs }: PartAnswer): void {
    if (!blocks.recordAnswer(part, clock.getNowMs() - ageMs)) return;
    trials.end(part);
    log.logEvent(Events.PART_RELEASED, { part });
    reportAnswer({ part, ageMs });
  }

  /** The first router by rank keeps the entries of blocks in the store. */
  function renewEntries(): void {
    const nowMs = clock.getNowMs();
    blocks
      .list(nowMs)
      .filter(({ part }) => nowMs - (renewedAtMs.get(part) ?? 0) >= RENEWAL_MS)
      .filter(({ part }) => isAmongFirst(part, 1))
      .forEach(addEntry);
  }

  return {
    findBlock(request) {
      return blocks
        .listMatching(request, clock.getNowMs())
        .find((block) => !(isAmongFirst(block.part, 1) && trials.admit(block, request.id)));
    },
    recordSend: ({ id }) => trials.recordSend(id),
    listMatching: (holder) => blocks.listMatching(holder, clock.getNowMs()),
    hasBlock: blocks.hasBlock,
    isExplained: blocks.isExplained,
    isNews: blocks.isNews,
    addBlock(block, routers) {
      applyBlock(block);
      reportBlock(block, routers);
    },
    recordBlocks,
    recordAnswer,
    recordCrash(crash) {
      const block = blocks.recordCrash(crash, clock.getNowMs(), trials.isDue);
      trials.end(crash.part);
      // Other routers drop blocks that the targets of this one explain.
      if (block !== undefined) reportBlock(block);
    },
    listBlocks: () => blocks.list(clock.getNowMs()),
    applyDirectory() {
      for (const entry of entries.listChanged()) {
        if (entry.kind === 'block') recordBlocks([entry.block], 'store');
        else recordAnswer(entry.answer);
      }
    },
    async sendPending() {
      renewEntries();
      await entries.writePending();
      // The store may have lost entries, so that a router which has just started asks its peers once as well.
      if (directory.isUpToDate() && hasExchanged) return;
      const sample = PeerSamples.samplePeers(peers.listNearest(), options.nextRandom);
      const known = blocks.list(clock.getNowMs());
      await Promise.all(sample.map((peer) => sendBlocks(peer, known)));
    },
  };
}
