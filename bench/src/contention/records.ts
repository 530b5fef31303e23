/** Records of one run of the contention bench. All times are `performance.now()`, milliseconds. */
import type { QueueingRun } from '@sequoiarill/standins';

export type AttemptOutcome =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly retryAfterMs: number | undefined;
      readonly text: string;
      /** Whether the body arrived up to the end given by its framing. */
      readonly isComplete: boolean;
    }
  /** The connection ended without an answer; `code` is that of the error. */
  | { readonly kind: 'noAnswer'; readonly code: string };

/** One request of a caller to one router. */
export interface Attempt {
  readonly id: string;
  readonly router: number;
  /** Process of the router, counted from 1. */
  readonly incarnation: number;
  readonly sentAtMs: number;
  /** First event requested: 1, or a later one where the caller goes on with a broken stream. */
  readonly fromEvent: number;
  readonly firstEventAtMs: number | undefined;
  readonly endedAtMs: number;
  /** Whether the caller ended it because its patience was over. */
  readonly hasCallerLeft: boolean;
  readonly outcome: AttemptOutcome;
}

export interface Caller {
  readonly route: number;
  readonly organisation: number;
  readonly arrivedAtMs: number;
  readonly attempts: readonly Attempt[];
}

export type RouterFaultKind = 'kill' | 'terminate' | 'pause';

export interface RouterFault {
  readonly kind: RouterFaultKind;
  readonly router: number;
  readonly incarnation: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Exit code after `terminate`. */
  readonly exitCode?: number | null;
}

export interface EngineRecord {
  readonly runs: readonly QueueingRun[];
  readonly rejected: readonly string[];
  readonly reportReads: number;
}

export interface RunRecords {
  readonly callers: readonly Caller[];
  /** One for each incarnation of an engine. */
  readonly engines: readonly EngineRecord[];
  readonly faults: readonly RouterFault[];
  readonly eventCount: number;
}

export const OK = 200;
/** Statuses that guarantee that the request was not run and never will be. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([429, 503]);

export function isWhole({ outcome }: Attempt): boolean {
  return outcome.kind === 'answer' && outcome.status === OK && outcome.isComplete;
}

export function isRefused({ outcome }: Attempt): boolean {
  return outcome.kind === 'answer' && NOT_RUN_STATUSES.has(outcome.status);
}
