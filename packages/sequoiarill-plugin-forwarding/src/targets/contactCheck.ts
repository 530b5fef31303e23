/** Tells a silent target from a terminated one and from one that this router does not reach. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ExitCheckResult } from '../crashes/exitCheck';
import type { TargetNotices } from './targetNotices';
import type { TargetProbe } from './targetProbe';

/**
 * `answers`: a probe over a new connection is answered; `accepts`: a connection opens and nothing is answered, as with
 * a paused process, whose kernel goes on accepting; `refuses`: the connection is refused, or closed without an answer,
 * so the process has terminated; `unreachable`: no response to the connection attempt, as from a host without power
 * or beyond a cut path.
 */
export type TargetContact = 'answers' | 'accepts' | 'refuses' | 'unreachable';

export interface ContactCheck {
  /** Concurrent checks of one target share their connections and result. */
  readonly checkContact: (target: ForwardingTarget) => Promise<TargetContact>;
}

export interface ContactCheckOptions {
  /** Its timeout bounds the time until `unreachable`. */
  readonly checkExit: (target: ForwardingTarget) => Promise<ExitCheckResult>;
  /** Its timeout bounds the time until `accepts`. */
  readonly checkAnswer: TargetProbe;
  /** A target that has asked for rest is not probed. */
  readonly notices: Pick<TargetNotices, 'isResting'>;
}

/** A connection within a region opens within a few milliseconds, also where the target is busy. */
export const CONNECT_TIMEOUT_MS = 150;
/** Most engines answer a probe within 5 ms. */
export const ANSWER_TIMEOUT_MS = 250;

export function createContactCheck(options: ContactCheckOptions): ContactCheck {
  const { checkExit, checkAnswer, notices } = options;
  const checks = new Map<string, Promise<TargetContact>>();

  async function runCheck(target: ForwardingTarget): Promise<TargetContact> {
    const exit = await checkExit(target);
    if (exit === 'ended') return 'refuses';
    if (exit === 'silent') return 'unreachable';
    if (notices.isResting(target)) return 'accepts';
    const probe = await checkAnswer(target);
    if (probe === 'answered') return 'answers';
    return probe === 'closed' ? 'refuses' : 'accepts';
  }

  return {
    checkContact(target) {
      const running = checks.get(target.id);
      if (running !== undefined) return running;
      const check = runCheck(target).finally(() => checks.delete(target.id));
      checks.set(target.id, check);
      return check;
    },
  };
}
