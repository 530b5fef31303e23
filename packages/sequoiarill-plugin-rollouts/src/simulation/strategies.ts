/** Other ways to run a roll-out, to measure ours against. */
import * as Decisions from '@sequoiarill/decisions';
import type { DecideRolloutStep } from '@sequoiarill/decisions';

/** Shares of the requests, one after the other in even parts of the time. */
const STEPS = [0.05, 0.1, 0.25, 0.5] as const;
/** Part of the time after which everything has moved. */
const STEPS_PART = 0.6;

/** Fixed steps with a judgement at each. */
export const decideFixedStep: DecideRolloutStep = (situation, limits) => {
  const { phase, share, judgement, elapsedMs, durationMs, isInService, isQuorate } = situation;
  const isRising = phase === 'canary' || phase === 'trial';
  if (!isRising || isInService || judgement.verdict === 'bad' || !isQuorate) {
    return Decisions.decideRolloutStep(situation, limits);
  }
  const index = Math.floor((elapsedMs / durationMs / STEPS_PART) * STEPS.length);
  const due = STEPS[index];
  if (due === undefined) return { phase: 'moving', share: 1, reason: 'the last step' };
  return due > share ? { phase: 'canary', share: due, reason: 'the next step' } : undefined;
};

/** Everything moves as soon as the new version is judged sound by enough answers. */
const ENOUGH_ANSWERS = 30;

export const decideSequential: DecideRolloutStep = (situation, limits) => {
  const { phase, judgement, isInService, isQuorate } = situation;
  const isEnough = judgement.verdict === 'sound' && judgement.answers >= ENOUGH_ANSWERS;
  if (phase === 'canary' && !isInService && isQuorate && isEnough) {
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
