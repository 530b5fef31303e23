/** One request on its way, over all engines that take part. */
import type { Permit } from '../admissionTypes';
import type { Finished } from './simulationMetrics';
import type { PlayRequest } from './requestGenerator';

export interface Flight {
  readonly request: PlayRequest;
  readonly permit: Permit | undefined;
  /** Engines that failed it. */
  readonly excluded: Set<string>;
  readonly getEmitted: () => number;
  readonly getAttempts: () => number;
  readonly hasFirstToken: () => boolean;
  readonly isOver: () => boolean;
  readonly recordSent: (cancel: () => number) => void;
  readonly recordFirstToken: (nowMs: number) => void;
  readonly recordLost: (generated: number, gapMs: number, nowMs: number) => void;
  readonly getFinished: (meanGapMs: number, nowMs: number) => Finished;
  /** Ends it, at its engine as well; answers what that generated for nothing. */
  readonly cancelFlight: () => number;
  readonly closeFlight: () => void;
}

export function createFlight(request: PlayRequest, permit: Permit | undefined): Flight {
  let emitted = 0;
  let attempts = 0;
  let decodedMs = 0;
  let firstTokenAtMs: number | undefined;
  let brokenAtMs: number | undefined;
  let longestPauseMs = 0;
  let isOver = false;
  let cancelSent: () => number = () => 0;

  function recordFirstToken(nowMs: number): void {
    if (brokenAtMs !== undefined) longestPauseMs = Math.max(longestPauseMs, nowMs - brokenAtMs);
    brokenAtMs = undefined;
    firstTokenAtMs ??= nowMs;
  }

  function recordLost(generated: number, gapMs: number, nowMs: number): void {
    emitted += generated;
    decodedMs += generated * gapMs;
    if (emitted > 0) brokenAtMs ??= nowMs;
  }

  function getFinished(meanGapMs: number, nowMs: number): Finished {
    const totalMs = decodedMs + meanGapMs * (request.outputTokens - emitted);
    return {
      request,
      firstTokenMs: (firstTokenAtMs ?? nowMs) - request.arrivedMs,
      meanGapMs: totalMs / request.outputTokens,
      longestPauseMs,
      endedMs: nowMs,
    };
  }

  return {
    request,
    permit,
    excluded: new Set(),
    getEmitted: () => emitted,
    getAttempts: () => attempts,
    hasFirstToken: () => firstTokenAtMs !== undefined,
    isOver: () => isOver,
    recordSent: (cancel) => {
      attempts += 1;
      cancelSent = cancel;
    },
    recordFirstToken,
    recordLost,
    getFinished,
    cancelFlight: () => {
      isOver = true;
      return cancelSent();
    },
    closeFlight: () => {
      isOver = true;
    },
  };
}
