/** What targets say about themselves in the heads of their answers and in their load reports. */
import type { Clock, Directory, ForwardingTarget, HeaderNames, Metrics } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import * as Events from '../events';
import type { BrittleTargets } from '../limits/brittleTargets';
import type { AnswerHead } from '../forwardRequest';
import * as MetricNames from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { RecordExcess } from './answerLimits';
import type { PathMonitor } from './pathMonitor';
import * as SilenceEvents from './silenceEvents';
import * as Incarnations from './targetIncarnation';

export interface TargetNotices {
  /** Records the head of an answer that came from the target's address. */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
  /** A call to the target is outstanding until the returned function is called. */
  readonly recordStart: PathMonitor['recordStart'];
  /** Records that the target said that it is about to stop; `source` names where, for the log. */
  readonly recordLeaving: (target: ForwardingTarget, source: 'answer' | 'report') => void;
  /**
   * Returns a function for a call that begins now, which logs and counts that it was cut because the target sent too
   * much. `request` is undefined for calls of the router itself.
   */
  readonly createExcessRecord: (target: ForwardingTarget, request?: string) => RecordExcess;
  /** Whether the target has asked this router for rest that is not over. */
  readonly isResting: (target: ForwardingTarget) => boolean;
  /** Time until the end of that rest, milliseconds; 0 for a target that is not resting. */
  readonly getRestMs: (target: ForwardingTarget) => number;
  /** Removes rests that are over. */
  readonly removeOld: () => void;
  /** Incarnations of the resting targets. */
  readonly dumpState: () => readonly string[];
}

export interface TargetNoticesOptions {
  readonly paths: Pick<PathMonitor, 'recordHeard' | 'recordStart'>;
  readonly brittle: Pick<BrittleTargets, 'recordHead'>;
  readonly headers: Pick<HeaderNames, 'leaving' | 'retryAfter' | 'targetId'>;
  readonly directory: Pick<Directory, 'findCurrent' | 'recordLeaving'>;
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly nextRandom: () => number;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<Metrics, 'addCount'>;
}

const UNAVAILABLE = 503;
const LEAVING = '1';
const MS_PER_SECOND = 1_000;
/**
 * Each router prolongs a rest by a random part of this share, so that not all of them return to the target
 * at the same moment.
 */
const MAX_PROLONGATION = 0.1;

/** Undefined for a text that is not a positive number of seconds. */
function parseSeconds(text: string): number | undefined {
  const seconds = text.trim() === '' ? Number.NaN : Number(text);
  return Number.isFinite(seconds) && seconds > 0 ? seconds : undefined;
}

export function createTargetNotices(options: TargetNoticesOptions): TargetNotices {
  const { headers, directory, clock, log, metrics } = options;
  /** End of each rest by incarnation, monotonic milliseconds. */
  const restsUntilMs = new Map<string, number>();

  function getRestMs(target: ForwardingTarget): number {
    if (restsUntilMs.size === 0) return 0;
    const untilMs = restsUntilMs.get(Incarnations.formatIncarnation(target));
    return untilMs === undefined ? 0 : Math.max(0, untilMs - clock.getNowMs());
  }

  function removeOld(): void {
    const nowMs = clock.getNowMs();
    for (const [key, untilMs] of restsUntilMs) if (untilMs <= nowMs) restsUntilMs.delete(key);
  }

  /** A later answer that names a shorter time does not end a rest that was asked for before. */
  function recordRest(target: ForwardingTarget, text: string): void {
    const seconds = parseSeconds(text);
    log.logEvent(Events.TARGET_RESTING, {
      target: target.id,
      zone: target.zone,
      retryAfter: text,
      seconds: seconds ?? null,
    });
    if (seconds === undefined) return;
    removeOld();
    const restMs = Math.max(
      getRestMs(target),
      seconds * MS_PER_SECOND * (1 + options.nextRandom() * MAX_PROLONGATION),
    );
    restsUntilMs.set(Incarnations.formatIncarnation(target), clock.getNowMs() + restMs);
    metrics.addCount(MetricNames.RESTS);
  }

  function recordLeaving(target: ForwardingTarget, source: 'answer' | 'report'): void {
    if (directory.findCurrent(target)?.state === 'draining') return;
    log.logEvent(Events.TARGET_LEAVING, { target: target.id, zone: target.zone, source });
    directory.recordLeaving(target);
    metrics.addCount(MetricNames.LEAVING);
  }

  return {
    recordLeaving,
    recordStart: options.paths.recordStart,
    recordHead(target, head) {
      options.paths.recordHeard(target);
      if (!Checks.isFromTarget(head, target, headers)) return;
      options.brittle.recordHead(target.service, head);
      if (Checks.getHeader(head, headers.leaving)?.trim() === LEAVING) {
        recordLeaving(target, 'answer');
      }
      const retryAfter = Checks.getHeader(head, headers.retryAfter);
      if (head.status === UNAVAILABLE && retryAfter !== undefined) {
        recordRest(target, retryAfter);
      }
    },
    createExcessRecord({ id, zone }, request) {
      const sinceMs = clock.getNowMs();
      return (phase, bytes) => {
        const ms = Math.round(clock.getNowMs() - sinceMs);
        log.logEvent(SilenceEvents.TARGET_EXCESS, { target: id, zone, request, phase, bytes, ms });
        metrics.addCount(MetricNames.EXCESS, 1, { phase });
      };
    },
    isResting: (target) => getRestMs(target) > 0,
    getRestMs,
    removeOld,
    dumpState() {
      removeOld();
      return [...restsUntilMs.keys()];
    },
  };
}
