/** Decides whether a part of prompts with enough crashes is blocked, by what speaks against it at all routers. */
import type { PartEvidence } from '@sequoiarill/decisions';
import type { Clock, PartAnswer, PartBlock, PartFindings, RouterPeers } from '@sequoiarill/types';

import * as Events from '../events';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { PartBlockReports } from './partBlockReports';
import type { KnownQuery, PartInquiries, RunTerms } from './partInquiries';
import type { PartLog } from './partLog';

export interface PartDecisions {
  /** Blocks the part unless something speaks against it. */
  readonly decidePart: (part: string) => Promise<void>;
}

export interface PartDecisionsOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly peers: Pick<RouterPeers, 'listNearest'>;
  readonly evidence: Pick<PartEvidence, 'findBlock' | 'decideStrength' | 'removeExplained'>;
  readonly blocks: Pick<PartBlockReports, 'addBlock' | 'isExplained' | 'isNews'>;
  readonly inquiries: Pick<PartInquiries, 'runInquiry' | 'releaseHold'>;
  readonly recordAnswer: (answer: PartAnswer) => void;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly logInquiry: PartLog['logInquiry'];
  /** Runs calls whose results nothing waits for. */
  readonly runAsync: (calls: readonly Promise<unknown>[]) => void;
}

/** Time after which the routers are asked again where runs that had just begun do not decide. */
const RECHECK_MS = 400;
/** Covers an inquiry after the routers have said what they know, and the time until its block has reached them. */
const HOLD_MS = 3_500;

/** Share of the targets that ended meanwhile which a part that crashes targets has at least. */
const DISTINCT_SHARE = 0.75;

interface InquiryProgress {
  /** Addresses of routers that have not replied. */
  readonly unanswered: Set<string>;
  /** The query with which requests were made to wait. */
  held: KnownQuery | undefined;
}

export function createPartDecisions(options: PartDecisionsOptions): PartDecisions {
  const { clock, peers, evidence, blocks, inquiries, recordAnswer, log, runAsync } = options;

  /**
   * Whether the part may well be under these crashes by chance: it was answered before, or most targets that ended
   * meanwhile ran nothing with it.
   */
  function isOrdinary(part: string, { wasAnswered, crashedTargets = [] }: PartFindings): boolean {
    if (wasAnswered === true) return true;
    const targets = evidence.findBlock(part, clock.getNowMs(), false)?.targets ?? [];
    const ended = new Set([...crashedTargets, ...targets]);
    return targets.length < ended.size * DISTINCT_SHARE;
  }

  /** For which runs to wait; undefined where the evidence is not enough by what is known. */
  function decideTerms(part: string, known: PartFindings): RunTerms | undefined {
    const isUsual = isOrdinary(part, known);
    if (evidence.findBlock(part, clock.getNowMs(), isUsual) === undefined) return undefined;
    if (evidence.decideStrength(part, isUsual) === 'weak') return { awaitedRuns: 'all' };
    // Most requests with a part that is answered as a rule are sound, and their answers decide.
    return known.wasAnswered === true
      ? { awaitedRuns: 'begun' }
      : { awaitedRuns: 'begun', holdMs: HOLD_MS };
  }

  /** The block that is left after the routers were asked what speaks against the part; undefined where none is. */
  async function findRemainingBlock(
    part: string,
    decide: (known: PartFindings) => RunTerms | undefined,
    progress: InquiryProgress,
  ): Promise<PartBlock | undefined> {
    const suspected = evidence.findBlock(part, clock.getNowMs(), false);
    if (suspected === undefined) return undefined;
    const { others, targets, firstAgeMs: sinceAgeMs, organisation } = suspected;
    const query = { part, others, targets, sinceAgeMs, organisation };
    const findings = await inquiries.runInquiry(query, decide);
    const { answers, explainedTargets } = findings;
    findings.unanswered.forEach((router) => progress.unanswered.add(router));
    if (findings.isHeld) progress.held = query;
    evidence.removeExplained(part, explainedTargets);
    answers.forEach(recordAnswer);
    const answered = new Set(answers.map((answer) => answer.part));
    const block = evidence.findBlock(part, clock.getNowMs(), isOrdinary(part, findings));
    if (block === undefined || answered.has(part) || blocks.isExplained(block)) return undefined;
    return { ...block, others: block.others.filter((other) => !answered.has(other)) };
  }

  async function decidePart(part: string): Promise<void> {
    const startedMs = clock.getNowMs();
    const progress: InquiryProgress = { unanswered: new Set(), held: undefined };
    const decide = (known: PartFindings) => decideTerms(part, known);
    let block = await findRemainingBlock(part, decide, progress);
    const strength = evidence.decideStrength(part, true);
    if (block !== undefined && strength !== 'strong') {
      // The part to blame is blocked meanwhile, where other runs have brought its block about.
      await clock.waitMs(RECHECK_MS);
      block = await findRemainingBlock(part, () => undefined, progress);
    }
    const isNews = block !== undefined && blocks.isNews(block);
    if (block === undefined) log.logEvent(Events.PART_CLEARED, { part });
    else if (isNews) blocks.addBlock(block, peers.listNearest());
    const { held, unanswered } = progress;
    if (held !== undefined && !isNews) runAsync([inquiries.releaseHold(held)]);
    const outcome = block === undefined ? 'cleared' : 'known';
    options.logInquiry(isNews ? 'blocked' : outcome, { part, strength, startedMs, unanswered });
  }

  return { decidePart };
}
