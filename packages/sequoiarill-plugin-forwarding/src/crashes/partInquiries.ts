/**
 * Asks the routers, before a part of prompts is blocked, for what speaks against it: answers since the first of the
 * crashes, and other requests that explain crashes.
 *
 * Each router says first what it knows. Where nothing speaks against the part, requests that the block would refuse wait
 * at all routers, and those that have replied are asked again for runs that may still be answered. So a router that does
 * not reply delays nothing.
 */
import type {
  Clock,
  PartAnswer,
  PartCalls,
  PartFindings,
  PartQuery,
  RouterPeers,
} from '@sequoiarill/types';

import type { PartHolds } from './partHolds';
import type { CrashedRun, PartRuns } from './partRuns';

export interface InquiryResult extends PartFindings {
  /** Addresses of routers that have not replied. */
  readonly unanswered: readonly string[];
  /** Whether requests were made to wait, which lasts until a block, an answer, or `releaseHold`. */
  readonly isHeld: boolean;
}

/** A query for what routers know at once. */
export type KnownQuery = Omit<PartQuery, 'awaitedRuns' | 'holdMs'>;
export type RunTerms = Pick<PartQuery, 'awaitedRuns' | 'holdMs'>;

export interface PartInquiries {
  /**
   * Findings here and at other routers; answers of the queried part are complete once one is known. `decide` is given
   * what routers say at once, and returns for which runs to wait, and whether requests wait meanwhile; undefined for
   * none.
   */
  readonly runInquiry: (
    query: KnownQuery,
    decide: (known: PartFindings) => RunTerms | undefined,
  ) => Promise<InquiryResult>;
  /** Ends the wait of requests with the part at all routers. */
  readonly releaseHold: (query: KnownQuery) => Promise<void>;
  /** Answers another router's query. */
  readonly findFindings: (query: PartQuery) => Promise<PartFindings>;
}

export interface PartInquiriesOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly peers: Pick<RouterPeers, 'listNearest'> & Pick<PartCalls, 'queryPart'>;
  readonly runs: Pick<
    PartRuns,
    'getAnsweredAtMs' | 'waitForRuns' | 'listCrashedRuns' | 'listCrashedTargets'
  >;
  readonly holds: Pick<PartHolds, 'add' | 'remove'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Routers asked before all others; most parts of sound requests were answered at one of them. */
const ROUTERS_ASKED_FIRST = 8;
/**
 * Routers say within this time what they know, or are not waited for. A pause of this process takes up one of the
 * steps, so that replies which arrived meanwhile are read in the next one.
 */
const REPLY_STEPS = 3;
const REPLY_STEP_MS = 100;
/** Covers runs that have just begun, at routers that have replied before. */
const RUNS_STEPS = 18;

interface Replies {
  readonly findings: PartFindings;
  /** Routers that have replied. */
  readonly routers: readonly string[];
}

function isAnswered({ answers }: PartFindings, part: string): boolean {
  return answers.some((answer) => answer.part === part);
}

function mergeFindings(all: readonly PartFindings[]): PartFindings {
  return {
    answers: all.flatMap(({ answers }) => answers),
    explainedTargets: all.flatMap(({ explainedTargets }) => explainedTargets),
    crashedTargets: [...new Set(all.flatMap(({ crashedTargets = [] }) => crashedTargets))],
    wasAnswered: all.some(({ wasAnswered }) => wasAnswered === true),
  };
}

export function createPartInquiries(options: PartInquiriesOptions): PartInquiries {
  const { clock, peers, runs, holds, logFailure } = options;

  function listAnswers(parts: readonly string[], sinceMs: number): readonly PartAnswer[] {
    return parts.flatMap((part) => {
      const answeredAtMs = runs.getAnsweredAtMs(part);
      if (answeredAtMs === undefined || answeredAtMs < sinceMs) return [];
      return { part, ageMs: clock.getNowMs() - answeredAtMs };
    });
  }

  function applyHold({ part, others, organisation, holdMs }: PartQuery): void {
    if (holdMs === 0) holds.remove(part);
    else if (holdMs !== undefined) holds.add({ part, others, organisation }, holdMs);
  }

  async function findFindings(query: PartQuery): Promise<PartFindings> {
    const { part, others, targets, awaitedRuns } = query;
    const sinceMs = clock.getNowMs() - query.sinceAgeMs;
    if (listAnswers([part], sinceMs).length === 0) {
      applyHold(query);
      await runs.waitForRuns(part, awaitedRuns);
    }
    const hasBegunWithout = (run: CrashedRun): boolean =>
      run.stage === 'begun' && !run.parts.includes(part);
    return {
      wasAnswered: runs.getAnsweredAtMs(part) !== undefined,
      crashedTargets: runs.listCrashedTargets(sinceMs),
      answers: listAnswers([part, ...others], sinceMs),
      explainedTargets: targets.filter((target) =>
        runs.listCrashedRuns(target).some(hasBegunWithout),
      ),
    };
  }

  async function readFindings(router: string, query: PartQuery): Promise<PartFindings | undefined> {
    const outcome = await peers.queryPart(router, query);
    if (outcome.kind === 'findings') return outcome;
    logFailure(router, outcome.reason);
    return undefined;
  }

  /** Resolves when the awaited routers have replied, when one has seen the part answered, or at the end of the steps. */
  async function readReplies(
    query: PartQuery,
    routers: readonly string[],
    awaited: readonly string[],
    steps: number,
  ): Promise<Replies> {
    const replies = new Map<string, PartFindings>();
    const left = new Set(awaited);
    const isComplete = new AbortController();
    const readOne = async (router: string): Promise<void> => {
      const findings = await readFindings(router, query);
      if (findings !== undefined) replies.set(router, findings);
      left.delete(router);
      const isKnown = findings !== undefined && isAnswered(findings, query.part);
      if (isKnown || left.size === 0) isComplete.abort();
    };
    const reading = Promise.all(routers.map(readOne));
    if (left.size === 0) isComplete.abort();
    for (let step = 0; step < steps && !isComplete.signal.aborted; step += 1) {
      await Promise.race([reading, clock.waitMs(REPLY_STEP_MS, isComplete.signal)]);
    }
    return { findings: mergeFindings([...replies.values()]), routers: [...replies.keys()] };
  }

  /** What is known at once, here and at other routers. */
  async function readKnown(query: KnownQuery): Promise<Replies> {
    const known = { ...query, awaitedRuns: 'none' } as const;
    const routers = peers.listNearest();
    const near = routers.slice(0, ROUTERS_ASKED_FIRST);
    const own = await findFindings(known);
    const nearReplies = await readReplies(known, near, near, REPLY_STEPS);
    const first = mergeFindings([own, nearReplies.findings]);
    const far = routers.slice(ROUTERS_ASKED_FIRST);
    if (far.length === 0 || isAnswered(first, query.part)) {
      return { findings: first, routers: nearReplies.routers };
    }
    const farReplies = await readReplies(known, far, far, REPLY_STEPS);
    return {
      findings: mergeFindings([first, farReplies.findings]),
      routers: [...nearReplies.routers, ...farReplies.routers],
    };
  }

  return {
    findFindings,
    async runInquiry(query, decide) {
      const known = await readKnown(query);
      if (isAnswered(known.findings, query.part)) {
        return { ...known.findings, unanswered: [], isHeld: false };
      }
      const all = peers.listNearest();
      const unanswered = all.filter((router) => !known.routers.includes(router));
      const terms = decide(known.findings);
      if (terms === undefined) return { ...known.findings, unanswered, isHeld: false };
      // Requests without a part that was answered would be refused as well.
      const others = query.others.filter((part) => !isAnswered(known.findings, part));
      const further = { ...query, ...terms, others };
      const [own, { findings }] = await Promise.all([
        findFindings(further),
        readReplies(further, all, known.routers, RUNS_STEPS),
      ]);
      const isHeld = terms.holdMs !== undefined;
      return { ...mergeFindings([known.findings, own, findings]), unanswered, isHeld };
    },
    async releaseHold(query) {
      const released = { ...query, awaitedRuns: 'none', holdMs: 0 } as const;
      applyHold(released);
      await Promise.all(peers.listNearest().map((router) => readFindings(router, released)));
    },
  };
}
