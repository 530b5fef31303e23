/** State of one in-flight request, over all engines that it is sent to. */
import type { Permit } from '../admissionTypes';
import type { SimulatedRequest } from './requestGenerator';
import type { FinishedRequest } from './simulationMetrics';

export interface InFlightRequest {
  readonly request: SimulatedRequest;
  readonly permit: Permit | undefined;
  /** Engines that failed this request. */
  readonly excludedEngines: Set<string>;
  readonly countEmittedTokens: () => number;
  readonly countAttempts: () => number;
  readonly hasFirstToken: () => boolean;
  readonly hasEnded: () => boolean;
  readonly recordAttempt: (cancel: () => number) => void;
  readonly recordFirstToken: (nowMs: number) => void;
  readonly recordLoss: (generatedTokens: number, gapMs: number, nowMs: number) => void;
  readonly buildFinished: (meanGapMs: number, nowMs: number) => FinishedRequest;
  /** Ends the request and cancels it at its engine; returns the number of tokens generated in vain. */
  readonly cancel: () => number;
  readonly close: () => void;
}

export function createInFlightRequest(
  request: SimulatedRequest,
  permit: Permit | undefined,
): InFlightRequest {
  let emittedTokens = 0;
  let attempts = 0;
  let decodedMs = 0;
  let firstTokenAtMs: number | undefined;
  let brokenAtMs: number | undefined;
  let longestPauseMs = 0;
  let hasEnded = false;
  let cancelAttempt: () => number = () => 0;

  function recordFirstToken(nowMs: number): void {
    if (brokenAtMs !== undefined) longestPauseMs = Math.max(longestPauseMs, nowMs - brokenAtMs);
    brokenAtMs = undefined;
    firstTokenAtMs ??= nowMs;
  }

  function recordLoss(generatedTokens: number, gapMs: number, nowMs: number): void {
    emittedTokens += generatedTokens;
    decodedMs += generatedTokens * gapMs;
    if (emittedTokens > 0) brokenAtMs ??= nowMs;
  }

  function buildFinished(meanGapMs: number, nowMs: number): FinishedRequest {
    const totalMs = decodedMs + meanGapMs * (request.outputTokens - emittedTokens);
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
    excludedEngines: new Set(),
    countEmittedTokens: () => emittedTokens,
    countAttempts: () => attempts,
    hasFirstToken: () => firstTokenAtMs !== undefined,
    hasEnded: () => hasEnded,
    recordAttempt: (cancel) => {
      attempts += 1;
      cancelAttempt = cancel;
    },
    recordFirstToken,
    recordLoss,
    buildFinished,
    cancel: () => {
      hasEnded = true;
      return cancelAttempt();
    },
    close: () => {
      hasEnded = true;
    },
  };
}
