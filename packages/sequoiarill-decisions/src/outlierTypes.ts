/** Types of outlier detection. */

export type OutlierState = 'healthy' | 'slow' | 'dead' | 'new';

export interface OutlierDetectorOptions {
  /** Share of the targets, 0 to 1, up to which slowness may eject; ejections for failures count too. */
  readonly maxSlowShare?: number;
  /** Share of the targets, 0 to 1, that failures may eject. */
  readonly maxFailedShare?: number;
}

export interface OutlierDetector {
  /** `ms`: time since dispatch, less the expected prefill time of the prompt where it is known. */
  readonly recordFirstToken: (target: string, ms: number, nowMs: number) => void;
  /** `ms`: time between two tokens of one stream; a sample of the gaps is enough. */
  readonly recordGap: (target: string, ms: number, nowMs: number) => void;
  /** Records a refused connection, an error answer, a stall or a broken stream. */
  readonly recordFailure: (target: string, nowMs: number) => void;
  readonly recordSuccess: (target: string, nowMs: number) => void;
  readonly getState: (target: string, nowMs: number) => OutlierState;
  /** Share of its full load that the target gets while it warms up, 0 to 1. */
  readonly getWarmShare: (target: string, nowMs: number) => number;
  /** Starts the warm-up of a target that is new or was replaced. */
  readonly addTarget: (target: string, nowMs: number) => void;
  /** Ends ejections for failures, whose cause was this router's own. */
  readonly removeFailures: (nowMs: number) => void;
  readonly removeTarget: (target: string) => void;
  readonly listEjected: (nowMs: number) => readonly string[];
}
