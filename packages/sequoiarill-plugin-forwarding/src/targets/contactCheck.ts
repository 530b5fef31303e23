/** Tells a silent target from a terminated one and from one that this router does not reach. */
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

import type { ExitCheckResult } from '../crashes/exitCheck';
import type { TargetNotices } from './targetNotices';
import type { ContactProbe, ProbeTimeouts, TargetContact } from './targetProbe';

export type { TargetContact } from './targetProbe';

export interface ContactCheck {
  /**
   * Concurrent checks of one target share a connection and the result. `accepts` is returned again at once for
   * `ACCEPTS_TTL_MS`, so that a caller that looks again has to wait in between.
   */
  readonly checkContact: (target: ForwardingTarget) => Promise<TargetContact>;
  /** Whether connections to the target open; shared and returned again in the same way. */
  readonly checkConnection: (target: ForwardingTarget) => Promise<ExitCheckResult>;
}

export interface ContactCheckOptions {
  readonly clock: Pick<Clock, 'getRunningMs'>;
  readonly readContact: ContactProbe;
  readonly checkExit: (target: ForwardingTarget) => Promise<ExitCheckResult>;
  readonly notices: Pick<TargetNotices, 'isResting'>;
}

/**
 * A connection within a region opens within a few milliseconds, also where the target is busy. Most engines answer a
 * probe within 5 ms.
 */
export const CONTACT_TIMEOUTS: ProbeTimeouts = { connectMs: 150, answerMs: 250 };
/** Timeout of a connection alone: streams of a target that is not reached wait for it. */
export const CONNECTION_TIMEOUT_MS = 50;
/**
 * A paused process keeps each connection in its accept queue, closed or not. Checks without a pause by all
 * routers would fill a queue of 128 within seconds, and the target would then look unreachable.
 */
export const ACCEPTS_TTL_MS = 300;

interface Check<Result> {
  readonly result: Promise<Result>;
  /** Running time until which the result is returned again; infinite while the check is running. */
  validUntilMs: number;
}

/** Shares checks of one target, and returns a result for which `isKept` holds again for a while. */
function createSharedCheck<Result>(
  { clock }: Pick<ContactCheckOptions, 'clock'>,
  runCheck: (target: ForwardingTarget) => Promise<Result>,
  isKept: (result: Result) => boolean,
): (target: ForwardingTarget) => Promise<Result> {
  /** Checks that run, or whose result is still returned. */
  const checks = new Map<string, Check<Result>>();

  function removeExpired(): void {
    const nowMs = clock.getRunningMs();
    for (const [id, { validUntilMs }] of checks) if (validUntilMs <= nowMs) checks.delete(id);
  }

  async function startCheck(target: ForwardingTarget): Promise<Result> {
    const check = runCheck(target);
    const entry: Check<Result> = { result: check, validUntilMs: Number.POSITIVE_INFINITY };
    checks.set(target.id, entry);
    try {
      const result = await check;
      entry.validUntilMs = clock.getRunningMs() + (isKept(result) ? ACCEPTS_TTL_MS : 0);
      return result;
    } catch (error) {
      entry.validUntilMs = Number.NEGATIVE_INFINITY;
      throw error;
    }
  }

  return async (target) => {
    removeExpired();
    return checks.get(target.id)?.result ?? startCheck(target);
  };
}

export function createContactCheck(options: ContactCheckOptions): ContactCheck {
  const { readContact, checkExit, notices } = options;

  async function checkResting(target: ForwardingTarget): Promise<TargetContact> {
    const exit = await checkExit(target);
    if (exit === 'ended') return 'refuses';
    return exit === 'alive' ? 'accepts' : 'unreachable';
  }

  return {
    checkContact: createSharedCheck(
      options,
      // A target that has asked for rest gets no probes.
      (target) => (notices.isResting(target) ? checkResting(target) : readContact(target)),
      (contact) => contact === 'accepts',
    ),
    checkConnection: createSharedCheck(options, checkExit, (result) => result === 'alive'),
  };
}
