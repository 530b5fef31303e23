/**
 * When a roll-out goes on, is completed or rolled back.
 *
 * Load pattern: a version that turns bad late, or only under load. Whoever raises its share in even steps has
 * given it half of the requests by then. So the share stays small for most of the time there is, then some
 * of its targets are loaded as usual for a short trial, and everything moves as late as it can end in time.
 */
import type { RolloutPhase } from '@sequoiarill/types';

import type { RolloutAssessment } from './rolloutAssessment';

export interface RolloutSituation {
  readonly phase: RolloutPhase;
  /** Share of the requests that goes to the version now. */
  readonly share: number;
  /** Since the order, milliseconds. */
  readonly elapsedMs: number;
  /** Since the phase began, milliseconds. */
  readonly phaseMs: number;
  readonly durationMs: number;
  /** The version is the one in service. */
  readonly isInService: boolean;
  readonly assessment: RolloutAssessment;
  /** Targets of the version that are ready. */
  readonly targetCount: number;
  /** Requests of the service so far, over all routers. */
  readonly requests: number;
  /** Requests in progress at the version that is replaced, over all routers. */
  readonly leaving: number;
  /** Work in progress can go on at another target without being run again. */
  readonly canHandOver: boolean;
  /** Most of the routers have reported lately. */
  readonly hasQuorum: boolean;
  /** Pause between two reports of a router, milliseconds. */
  readonly intervalMs: number;
}

export interface RolloutLimits {
  /** Of the requests, that a bad version may get. */
  readonly canaryShare: number;
  /** Requests that it may get besides. */
  readonly canarySlack: number;
}

export interface RolloutStep {
  readonly phase: RolloutPhase;
  readonly share: number;
  readonly reason: string;
}

export type DecideRolloutStep = (
  situation: RolloutSituation,
  limits: RolloutLimits,
) => RolloutStep | undefined;

/** Parts of what a bad version may get that are risked on purpose. */
const SHARE_PART = 0.6;
const SLACK_PART = 0.4;
const MAX_CANARY_SHARE = 0.25;
/** A share that differs less than this from the one in force is left, as a part of it. */
const SHARE_CHANGE = 0.3;
/** Requests from which the rate of a service is told. */
const MIN_REQUESTS = 30;
/** A trial loads this many targets as usual, within these shares of the requests. */
const TRIAL_TARGETS = 2;
const MIN_TRIAL_SHARE = 0.2;
const MAX_TRIAL_SHARE = 0.34;
/** Time that a trial takes, as a part of the whole, and its bounds in milliseconds. */
const TRIAL_PART = 0.12;
const MIN_TRIAL_MS = 1_000;
const MAX_TRIAL_MS = 4_000;
/** Time to move everything, as a part of the whole, and its bounds in milliseconds. */
const MOVE_PART = 0.2;
const MIN_MOVE_MS = 1_500;
const MAX_PLAIN_MOVE_MS = 2_000;
const MAX_STREAM_MOVE_MS = 8_000;
/** An order is known this late, and the end is to be written this early, milliseconds. */
const MARGIN_MS = 1_200;
/** Each of two steps is known to all routers, and judged by all, about an interval late. */
const MARGIN_INTERVALS = 1.5;

function computeWithin(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** The share that uses up a set part of what a bad version may get. */
function computeCanaryShare(
  { requests, elapsedMs, durationMs }: RolloutSituation,
  { canaryShare, canarySlack }: RolloutLimits,
): number {
  const safe = canaryShare * SHARE_PART;
  if (requests < MIN_REQUESTS) return safe;
  const expected = (requests / elapsedMs) * durationMs;
  return Math.min(MAX_CANARY_SHARE, safe + (canarySlack * SLACK_PART) / expected);
}

function computeTrialMs({ durationMs }: RolloutSituation): number {
  return computeWithin(durationMs * TRIAL_PART, MIN_TRIAL_MS, MAX_TRIAL_MS);
}

function computeMoveMs({ durationMs, canHandOver }: RolloutSituation): number {
  const longest = canHandOver ? MAX_STREAM_MOVE_MS : MAX_PLAIN_MOVE_MS;
  return computeWithin(durationMs * MOVE_PART, MIN_MOVE_MS, longest);
}

function decideCanary(situation: RolloutSituation, limits: RolloutLimits): RolloutStep | undefined {
  const { elapsedMs, durationMs, share, assessment: judgement, targetCount } = situation;
  const marginMs = MARGIN_MS + situation.intervalMs * MARGIN_INTERVALS;
  const trialAtMs = durationMs - marginMs - computeMoveMs(situation) - computeTrialMs(situation);
  const isDue = elapsedMs >= trialAtMs;
  const isSound = judgement.result === 'sound' && targetCount > 0;
  if (isDue && isSound) {
    const trialShare = computeWithin(TRIAL_TARGETS / targetCount, MIN_TRIAL_SHARE, MAX_TRIAL_SHARE);
    return { phase: 'trial', share: Math.max(share, trialShare), reason: 'sound so far' };
  }
  const next = computeCanaryShare(situation, limits);
  if (Math.abs(next - share) <= share * SHARE_CHANGE) return undefined;
  return { phase: 'canary', share: next, reason: 'the rate of requests is known' };
}

function decideTrial(situation: RolloutSituation): RolloutStep | undefined {
  const { phaseMs, assessment: judgement } = situation;
  const isOver = phaseMs >= computeTrialMs(situation);
  if (!isOver || judgement.result !== 'sound') return undefined;
  return { phase: 'moving', share: 1, reason: 'sound under usual load' };
}

/**
 * Failure: a version is completed while requests are at targets that stop at once, and orders are cut.
 * Streams that go on elsewhere need not be waited for beyond the time there is.
 */
function decideMoving(situation: RolloutSituation): RolloutStep | undefined {
  const { leaving, elapsedMs, durationMs, canHandOver, phaseMs } = situation;
  const isDue = canHandOver && elapsedMs >= durationMs - MARGIN_MS;
  // Routers hear of the phase within this time, and only then stop sending there.
  const isKnown = phaseMs >= MIN_MOVE_MS;
  if (!isKnown || (leaving > 0 && !isDue)) return undefined;
  return {
    phase: 'completed',
    share: 1,
    reason: leaving > 0 ? 'time is up' : 'everything has moved',
  };
}

function decideInService(situation: RolloutSituation): RolloutStep | undefined {
  if (situation.phase !== 'moving') {
    return { phase: 'moving', share: 1, reason: 'it is in service' };
  }
  return situation.hasQuorum ? decideMoving(situation) : undefined;
}

function decideForward(
  situation: RolloutSituation,
  limits: RolloutLimits,
): RolloutStep | undefined {
  const { phase, hasQuorum: isQuorate } = situation;
  if (!isQuorate) return undefined;
  if (phase === 'canary') return decideCanary(situation, limits);
  return phase === 'trial' ? decideTrial(situation) : decideMoving(situation);
}

/** Undefined: everything stays as it is. */
export function decideRolloutStep(
  situation: RolloutSituation,
  limits: RolloutLimits,
): RolloutStep | undefined {
  const { phase, assessment: judgement, isInService, elapsedMs, durationMs } = situation;
  if (phase === 'completed' || phase === 'rolledBack') return undefined;
  if (isInService) return decideInService(situation);
  if (phase === 'ordered') {
    const share = limits.canaryShare * SHARE_PART;
    return { phase: 'canary', share, reason: 'it was ordered' };
  }
  const { result: verdict, route } = judgement;
  const isSound = verdict === 'sound';
  if (verdict === 'bad') {
    return { phase: 'rolledBack', share: 0, reason: `bad answers on ${route ?? 'a route'}` };
  }
  const isTimeUp = elapsedMs >= durationMs - MARGIN_MS;
  // A sound version that was held up goes on, if late.
  if (!isSound && isTimeUp) {
    return { phase: 'rolledBack', share: 0, reason: `${verdict} when time was up` };
  }
  return phase === 'moving' && !isSound ? undefined : decideForward(situation, limits);
}
