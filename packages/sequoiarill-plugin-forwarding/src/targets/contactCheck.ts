/** Tells a silent target from a terminated one and from one that this router does not reach. */
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

import type { ExitCheck } from '../crashes/exitCheck';
import type { TargetNotices } from './targetNotices';
import type { ContactProbe, ProbeTimeouts, TargetContact } from './targetProbe';

export type { TargetContact } from './targetProbe';

export interface ContactCheck {
  /**
   * Concurrent checks of one target share a connection and the result. `accepts` is returned again at once for
   * `ACCEPTS_TTL_MS`, so that a caller that looks again has to wait in between.
   */
  readonly checkContact: (target: ForwardingTarget) => Promise<TargetContact>;
}

export interface ContactCheckOptions {
  readonly clock: Pick<Clock, 'getRunningMs'>;
  readonly readContact: ContactProbe;
  /** Used for a target that has asked for rest, which gets no probes. */
  readonly checkExit: ExitCheck;
  readonly notices: Pick<TargetNotices, 'isResting'>;
}

/**
 * A connection within a region opens within a few milliseconds, also where the target is busy. Most engines answer a
 * probe within 5 ms.
 */
export const CONTACT_TIMEOUTS: ProbeTimeouts = { connectMs: 150, answerMs: 250 };
/**
 * A paused process keeps each connection in its accept queue, closed or not. Checks without a pause by all
 * routers would fill a queue of 128 within seconds, and the target would then look unreachable.
 */
export const ACCEPTS_TTL_MS = 300;

interface Check {
  readonly result: Promise<TargetContact>;
  /** Running time until which the result is returned again; infinite while the check is running. */
  validUntilMs: number;
}

export function createContactCheck(options: ContactCheckOptions): ContactCheck {
  const { clock, readContact, checkExit, notices } = options;
  /** Checks that run, or whose result is still returned. */
  const checks = new Map<string, Check>();

  async function checkResting(target: ForwardingTarget): Promise<TargetContact> {
    const exit = await checkExit(target);
    if (exit === 'ended') return 'refuses';
    return exit === 'alive' ? 'accepts' : 'unreachable';
  }

  function removeExpired(): void {
    const nowMs = clock.getRunningMs();
    for (const [id, { validUntilMs }] of checks) if (validUntilMs <= nowMs) checks.delete(id);
  }

  async function runCheck(target: ForwardingTarget): Promise<TargetContact> {
    const check = notices.isResting(target) ? checkResting(target) : readContact(target);
    const entry: Check = { result: check, validUntilMs: Number.POSITIVE_INFINITY };
    checks.set(target.id, entry);
    try {
      const contact = await check;
      entry.validUntilMs = clock.getRunningMs() + (contact === 'accepts' ? ACCEPTS_TTL_MS : 0);
      return contact;
    } catch (error) {
      entry.validUntilMs = Number.NEGATIVE_INFINITY;
      throw error;
    }
  }

  return {
    checkContact(target) {
      removeExpired();
      return checks.get(target.id)?.result ?? runCheck(target);
    },
  };
}
