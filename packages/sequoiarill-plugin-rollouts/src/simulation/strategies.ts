/** Alternative roll-out strategies, to compare with the one of this project. */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep } from '@sequoiarill/decisions';

/** Shares of the requests, applied in turn for equal parts of the time. */
const STEP_SHARES = [0.05, 0.1, 0.25, 0.5] as const;
/** Fraction of the roll-out time after which all requests go to the new version. */
const STEPS_TIME_SHARE = 0.6;

/** Raises the share in fixed steps, with a check for a bad version before each. */
export const decideFixedStep: DecideRolloutStep = (situation, limits) => {
  const { phase, share, assessment, elapsedMs, durationMs, isInService, hasQuorum } = situation;
  const isRising = phase === 'canary' || phase === 'trial';
  if (!isRising || isInService || assessment.result === 'bad' || !hasQuorum) {
    return Decisions.decideRolloutStep(situation, limits);
  }
  const index = Math.floor((elapsedMs / durationMs / STEPS_TIME_SHARE) * STEP_SHARES.length);
  const nextShare = STEP_SHARES[index];
  if (nextShare === undefined) return { phase: 'moving', share: 1, reason: 'the last step' };
  return nextShare > share
    ? { phase: 'canary', share: nextShare, reason: 'the next step' }
    : undefined;
};

const MIN_SOUND_ANSWERS = 30;

/** Moves all requests as soon as enough answers show that the new version is sound. */
export const decideSequential: DecideRolloutStep = (situation, limits) => {
  const { phase, assessment, isInService, hasQuorum } = situation;
  const isEnough = assessment.result === 'sound' && assessment.answers >= MIN_SOUND_ANSWERS;
  if (phase === 'canary' && !isInService && hasQuorum && isEnough) {
    return { phase: 'moving', share: 1, reason: 'enough sound answers' };
  }
  return Decisions.decideRolloutStep(situation, limits);
};

export const STRATEGIES: readonly { readonly name: string; readonly decide: DecideRolloutStep }[] =
  [
    { name: 'late trial', decide: Decisions.decideRolloutStep },
    { name: 'fixed steps', decide: decideFixedStep },
    { name: 'sequential', decide: decideSequential },
  ];
