/**
 * Decides when a roll-out advances, is completed or is rolled back.
 *
 * Load pattern: a version turns bad late, or only under load. If its share is raised in even steps, it gets
 * half of the requests by then. So the share stays small for most of the available time, then a few of the
 * new targets get normal load for a short trial, and all requests move as late as the deadline allows.
 */
import type { RolloutPhase } from '@sequoiarill/types';

import type { RolloutAssessment } from './rolloutAssessment';

export interface RolloutSituation {
  readonly phase: RolloutPhase;
  /** Share of the requests that goes to the version now. */
  readonly share: number;
  /** Time since the roll-out was ordered, milliseconds. */
  readonly elapsedMs: number;
  /** Time since the phase began, milliseconds. */
  readonly phaseMs: number;
  readonly durationMs: number;
  /** The version is already the one in service. */
  readonly isInService: boolean;
  readonly assessment: RolloutAssessment;
  /** Targets of the version that are ready. */
  readonly targetCount: number;
  /** Requests of the service since the roll-out was ordered, over all routers. */
  readonly requests: number;
  /** Requests in progress at targets that are being replaced, over all routers. */
  readonly leaving: number;
  /** Requests in progress may be streams, which take longer to end. */
  readonly hasStreams: boolean;
  /** A majority of the routers has reported recently. */
  readonly hasQuorum: boolean;
  /** Interval between two reports of a router, milliseconds. */
  readonly intervalMs: number;
}

export interface RolloutLimits {
  /** Share of the requests that a bad version may get. */
  readonly canaryShare: number;
  /** Number of requests that it may get in addition. */
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

/** Fractions of the limits that the canary deliberately uses. */
const CANARY_SHARE_FRACTION = 0.6;
const CANARY_SLACK_FRACTION = 0.4;
const MAX_CANARY_SHARE = 0.25;
/** A new share is applied only if it differs from the current one by more than this fraction. */
const MIN_RELATIVE_SHARE_CHANGE = 0.3;
/** Minimum requests to estimate the request rate of a service. */
const MIN_REQUESTS = 30;
/** A trial gives this many targets their normal load, within these bounds on the share of requests. */
const TRIAL_TARGETS = 2;
const MIN_TRIAL_SHARE = 0.2;
const MAX_TRIAL_SHARE = 0.34;
/** Duration of a trial as a fraction of the roll-out, and its bounds. */
const TRIAL_FRACTION = 0.12;
const MIN_TRIAL_MS = 1_000;
const MAX_TRIAL_MS = 4_000;
/** Time to move all requests as a fraction of the roll-out, and its bounds. */
const MOVE_FRACTION = 0.2;
const MIN_MOVE_MS = 1_500;
const MAX_DRAIN_MOVE_MS = 2_000;
const MAX_STREAM_MOVE_MS = 8_000;
/** Covers the delay until the order is known and the time to write the completion before the deadline. */
const DEADLINE_MARGIN_MS = 1_200;
/** Report intervals until the last two steps have reached all routers and been reported by them. */
const PROPAGATION_INTERVALS = 1.5;

function computeClamped(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** Share of requests at which the canary uses the intended fraction of the limits. */
function computeCanaryShare(
  { requests, elapsedMs, durationMs }: RolloutSituation,
  { canaryShare, canarySlack }: RolloutLimits,
): number {
  const baseShare = canaryShare * CANARY_SHARE_FRACTION;
  if (requests < MIN_REQUESTS) return baseShare;
  const expectedRequests = (requests / elapsedMs) * durationMs;
  return Math.min(
    MAX_CANARY_SHARE,
    baseShare + (canarySlack * CANARY_SLACK_FRACTION) / expectedRequests,
  );
}

function computeTrialMs({ durationMs }: RolloutSituation): number {
  return computeClamped(durationMs * TRIAL_FRACTION, MIN_TRIAL_MS, MAX_TRIAL_MS);
}

function computeMoveMs({ durationMs, hasStreams }: RolloutSituation): number {
  const longest = hasStreams ? MAX_STREAM_MOVE_MS : MAX_DRAIN_MOVE_MS;
  return computeClamped(durationMs * MOVE_FRACTION, MIN_MOVE_MS, longest);
}

function decideCanary(situation: RolloutSituation, limits: RolloutLimits): RolloutStep | undefined {
  const { elapsedMs, durationMs, share, assessment, targetCount } = situation;
  const marginMs = DEADLINE_MARGIN_MS + situation.intervalMs * PROPAGATION_INTERVALS;
  const trialAtMs = durationMs - marginMs - computeMoveMs(situation) - computeTrialMs(situation);
  const isDue = elapsedMs >= trialAtMs;
  const isSound = assessment.result === 'sound' && targetCount > 0;
  if (isDue && isSound) {
    const trialShare = computeClamped(
      TRIAL_TARGETS / targetCount,
      MIN_TRIAL_SHARE,
      MAX_TRIAL_SHARE,
    );
    return { phase: 'trial', share: Math.max(share, trialShare), reason: 'sound so far' };
  }
  const nextShare = computeCanaryShare(situation, limits);
  if (Math.abs(nextShare - share) <= share * MIN_RELATIVE_SHARE_CHANGE) return undefined;
  return { phase: 'canary', share: nextShare, reason: 'the rate of requests is known' };
}

function decideTrial(situation: RolloutSituation): RolloutStep | undefined {
  const { phaseMs, assessment } = situation;
  const isOver = phaseMs >= computeTrialMs(situation);
  if (!isOver || assessment.result !== 'sound') return undefined;
  return { phase: 'moving', share: 1, reason: 'sound under usual load' };
}

/**
 * Targets of the old version may stop as soon as the roll-out is completed, which would cut requests in
 * progress. They can go on at no other version, so completion waits for them, also beyond the deadline.
 */
function decideMoving({ leaving, phaseMs }: RolloutSituation): RolloutStep | undefined {
  // All routers learn of the phase within this time; until then some still send to the old version.
  const isPropagated = phaseMs >= MIN_MOVE_MS;
  if (!isPropagated || leaving > 0) return undefined;
  return { phase: 'completed', share: 1, reason: 'everything has moved' };
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
  const { phase, hasQuorum } = situation;
  if (!hasQuorum) return undefined;
  if (phase === 'canary') return decideCanary(situation, limits);
  return phase === 'trial' ? decideTrial(situation) : decideMoving(situation);
}

/** Returns undefined if nothing changes. */
export function decideRolloutStep(
  situation: RolloutSituation,
  limits: RolloutLimits,
): RolloutStep | undefined {
  const { phase, assessment, isInService, elapsedMs, durationMs } = situation;
  if (phase === 'completed' || phase === 'rolledBack') return undefined;
  if (isInService) return decideInService(situation);
  if (phase === 'ordered') {
    const share = limits.canaryShare * CANARY_SHARE_FRACTION;
    return { phase: 'canary', share, reason: 'it was ordered' };
  }
  const { result, route } = assessment;
  const isSound = result === 'sound';
  if (result === 'bad') {
    return { phase: 'rolledBack', share: 0, reason: `bad answers on ${route ?? 'a route'}` };
  }
  const isTimeUp = elapsedMs >= durationMs - DEADLINE_MARGIN_MS;
  // A sound version that was delayed still proceeds after the deadline.
  if (!isSound && isTimeUp) {
    return { phase: 'rolledBack', share: 0, reason: `${result} when time was up` };
  }
  return phase === 'moving' && !isSound ? undefined : decideForward(situation, limits);
}
