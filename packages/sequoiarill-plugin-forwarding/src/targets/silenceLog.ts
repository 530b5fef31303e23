/** Logs and counts the silences of the target that runs a request. */
import type { Clock, ForwardingTarget, Metrics } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import * as MetricNames from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { TargetContact } from './contactCheck';
import type { PathMonitor } from './pathMonitor';
import * as SilenceEvents from './silenceEvents';

/**
 * Why a request stays with its silent target: no other target has answered a probe just now; it may be sent no more;
 * the repeats of its service are used up; or another target would have to read the prompt again.
 */
export type KeptReason = 'noOtherAnswers' | 'noAttemptLeft' | 'noRepeatLeft' | 'promptReadAgain';

/**
 * `spoke`: the target went on; `continued`: the request was given up there and sent elsewhere; `closed`: the
 * connection ended; `expired`: the request's time is up.
 */
export type SilenceEnd = 'spoke' | 'continued' | 'closed' | 'expired' | 'callerLeft';

export interface Silence {
  /** Last sign of the target, or the send of the request; running time, milliseconds. */
  readonly sinceMs: number;
  readonly contact: TargetContact;
  /** Undefined where the request goes on elsewhere. */
  readonly kept?: KeptReason | undefined;
}

export interface SilenceLog {
  /** Logs the first report of a silence, and later ones with another contact or reason. */
  readonly recordSilent: (silence: Silence) => void;
  /** Without effect where no silence was reported since the last end. */
  readonly recordEnd: (end: SilenceEnd) => void;
}

export interface SilenceLogOptions {
  readonly clock: Pick<Clock, 'getRunningMs'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<Metrics, 'addCount' | 'recordTiming'>;
  readonly paths: Pick<PathMonitor, 'getSummary'>;
}

/** For one run of a request at a target. */
export function createSilenceLog(
  { clock, log, metrics, paths }: SilenceLogOptions,
  request: Pick<ForwardRequest, 'id' | 'service'>,
  target: Pick<ForwardingTarget, 'id' | 'zone'>,
): SilenceLog {
  let last: Silence | undefined;
  const fields = { request: request.id, target: target.id, zone: target.zone };

  const computeSilence = ({ sinceMs }: Silence): number =>
    Math.round(clock.getRunningMs() - sinceMs);

  return {
    recordSilent(silence) {
      const { contact, kept } = silence;
      const isKnown = last?.contact === contact && last.kept === kept;
      last = silence;
      if (isKnown) return;
      log.logEvent(SilenceEvents.TARGET_SILENT, {
        ...fields,
        silentMs: computeSilence(silence),
        contact,
        kept,
        ...paths.getSummary(request.service),
      });
    },
    recordEnd(end) {
      if (last === undefined) return;
      const silentMs = computeSilence(last);
      const { contact } = last;
      last = undefined;
      metrics.addCount(MetricNames.SILENCES, 1, { contact, end });
      metrics.recordTiming(MetricNames.SILENCE, silentMs, { contact, end });
      if (end === 'spoke') log.logEvent(SilenceEvents.TARGET_SPOKE, { ...fields, silentMs });
    },
  };
}
