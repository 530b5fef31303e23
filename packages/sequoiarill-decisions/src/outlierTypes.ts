/** What outlier detection is told and what it answers. */

export type OutlierState = 'healthy' | 'slow' | 'dead' | 'new';

export interface OutlierDetectorOptions {
  /** Part of the targets, 0 to 1, that slowness may eject; those that failed count as well. */
  readonly maxSlowShare?: number;
  /** Part of the targets, 0 to 1, that failures may eject. */
  readonly maxFailedShare?: number;
}

export interface OutlierDetector {
  /** Milliseconds from dispatch, less what prefill of the prompt explains where it is known. */
  readonly recordFirstToken: (target: string, ms: number, nowMs: number) => void;
  /** Milliseconds between tokens of one stream; a sample of them is enough. */
  readonly recordGap: (target: string, ms: number, nowMs: number) => void;
  /** A connection refused, an error answer, a stall or a stream that broke. */
  readonly recordFailure: (target: string, nowMs: number) => void;
  readonly recordSuccess: (target: string, nowMs: number) => void;
  readonly getState: (target: string, nowMs: number) => OutlierState;
  /** 0 to 1: how much of its full load the target is given while it warms up. */
  readonly getWarmShare: (target: string, nowMs: number) => number;
  /** Starts the warm-up of a target that was not there before or has been replaced. */
  readonly addTarget: (target: string, nowMs: number) => void;
  readonly removeTarget: (target: string) => void;
  readonly listEjected: (nowMs: number) => readonly string[];
}
