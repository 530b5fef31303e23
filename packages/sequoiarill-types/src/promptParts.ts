/** Messages between routers about parts of prompts that may crash the targets that answer them. */
import type { CrashReportOutcome } from './peers';

/**
 * How far a run had come when its target terminated: `waiting` without a head of an answer, `begun` shortly
 * after its first event, `running` some time later.
 */
export type RunStage = 'waiting' | 'begun' | 'running';

/** A target terminated as it began to answer a request whose prompt holds the part. */
export interface PartCrash {
  /** Id of the part, as callers name it. */
  readonly part: string;
  /** Ids of the other parts of that prompt. */
  readonly others: readonly string[];
  /** Empty where callers need no API key. */
  readonly organisation: string;
  /** One incarnation of a target. Several crash reports for it count as one. */
  readonly target: string;
  readonly stage: RunStage;
  readonly ageMs: number;
}

/** A part under which so many targets terminated that requests with it are sent to no other one. */
export interface PartBlock {
  readonly part: string;
  /** Parts that all these requests held as well. Only requests that hold them all are refused. */
  readonly others: readonly string[];
  /** The organisation that sent all these requests, whose requests alone are refused; absent for several. */
  readonly organisation?: string;
  /** Incarnations of targets that terminated so, the latest. */
  readonly targets: readonly string[];
  /** Ages of the first and of the last crash, milliseconds. */
  readonly firstAgeMs: number;
  readonly lastAgeMs: number;
  /** Requests that were let through since to find out whether the part still crashes targets, and did. */
  readonly failedTrials: number;
}

/** A request whose prompt holds the part was answered beyond the time in which such a part crashes targets. */
export interface PartAnswer {
  readonly part: string;
  readonly ageMs: number;
}

/** Asks what speaks against a part, before it is blocked. */
export interface PartQuery {
  readonly part: string;
  /** Other parts that would have to be in a request for it to be refused. */
  readonly others: readonly string[];
  /** Incarnations of targets that terminated under requests with the part. */
  readonly targets: readonly string[];
  /** Runs with the part that are in progress and may still be answered before the reply. */
  readonly awaitedRuns: 'none' | 'begun' | 'all';
  /** Age of the first crash, milliseconds. */
  readonly sinceAgeMs: number;
  /** The organisation whose requests alone would be refused; absent for several. */
  readonly organisation?: string | undefined;
  /**
   * Time for which requests that the block would refuse wait from now on, milliseconds, where nothing speaks against
   * the part. 0 ends their wait; absent where it is unchanged.
   */
  readonly holdMs?: number | undefined;
}

export interface PartFindings {
  /** Of the parts that were asked for. */
  readonly answers: readonly PartAnswer[];
  /** Those of the targets that had just begun to answer a request without the part. */
  readonly explainedTargets: readonly string[];
  /** Whether the part was answered before, as far as is remembered, also before the first crash. */
  readonly wasAnswered?: boolean | undefined;
  /** Incarnations of all targets that ended under a run since the first crash, the latest. */
  readonly crashedTargets?: readonly string[] | undefined;
}

export type PartFindingsOutcome =
  | ({ readonly kind: 'findings' } & PartFindings)
  | { readonly kind: 'failed'; readonly reason: string };

export type PartBlocksOutcome =
  | { readonly kind: 'blocks'; readonly blocks: readonly PartBlock[] }
  | { readonly kind: 'failed'; readonly reason: string };

/** Handlers for what peers report and ask. */
export interface PartHandlers {
  readonly handlePartCrashes: (crashes: readonly PartCrash[]) => void;
  readonly handlePartAnswers: (answers: readonly PartAnswer[]) => void;
  /** Resolves when the runs that decide about the part have been answered or have ended. */
  readonly handlePartQuery: (query: PartQuery) => Promise<PartFindings>;
  /** Returns the blocks that this router knows. */
  readonly handlePartBlocks: (blocks: readonly PartBlock[]) => readonly PartBlock[];
}

/** Calls to other routers about parts of prompts. */
export interface PartCalls {
  readonly reportPartCrashes: (
    peer: string,
    crashes: readonly PartCrash[],
  ) => Promise<CrashReportOutcome>;
  readonly reportPartAnswers: (
    peer: string,
    answers: readonly PartAnswer[],
  ) => Promise<CrashReportOutcome>;
  readonly queryPart: (peer: string, query: PartQuery) => Promise<PartFindingsOutcome>;
  /** Sends this router's blocks to a peer and receives those that the peer knows. */
  readonly exchangePartBlocks: (
    peer: string,
    blocks: readonly PartBlock[],
  ) => Promise<PartBlocksOutcome>;
}
