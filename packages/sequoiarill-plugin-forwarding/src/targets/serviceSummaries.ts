/** Fields of log lines that tell a silent target from a silent service, a new configuration or a late router. */
import * as Decisions from '@sequoiarill/decisions';
import type { SilenceSummary } from '@sequoiarill/decisions';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

export interface ServiceSummary extends SilenceSummary {
  /** The longest delay of this router in the last ten seconds, or its last one; undefined if there was none. */
  readonly routerDelayMs: number | undefined;
  /** Time since that delay ended. */
  readonly routerDelayAgeMs: number | undefined;
  /** Time for which the configuration has been in force in this router; undefined before the first one. */
  readonly configurationAgeMs: number | undefined;
}

export interface ServiceSummaries {
  /** A request or a probe to the target is outstanding until the returned function is called. */
  readonly recordStart: (target: ForwardingTarget) => () => void;
  readonly recordHeard: (target: ForwardingTarget) => void;
  /** Another configuration is in force from now on. */
  readonly recordConfiguration: () => void;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
  readonly getSummary: (service: string) => ServiceSummary;
}

export type SummaryClock = Pick<Clock, 'getNowMs' | 'getRunningMs' | 'getLastDelay'>;

export function createServiceSummaries(clock: SummaryClock): ServiceSummaries {
  const silences = Decisions.createTargetSilences<ForwardingTarget>();
  let configuredAtMs: number | undefined;

  const computeAge = (sinceMs: number | undefined): number | undefined =>
    sinceMs === undefined ? undefined : Math.round(clock.getNowMs() - sinceMs);

  return {
    recordStart(target) {
      const recordEnd = silences.recordStart(target, clock.getRunningMs());
      return () => recordEnd(clock.getRunningMs());
    },
    recordHeard: (target) => silences.recordHeard(target, clock.getRunningMs()),
    recordConfiguration() {
      configuredAtMs = clock.getNowMs();
    },
    removeMissing: silences.removeMissing,
    getSummary(service) {
      const runningMs = clock.getRunningMs();
      const delay = clock.getLastDelay();
      return {
        ...silences.getSummary(service, runningMs),
        routerDelayMs: delay && Math.round(delay.lastedMs),
        routerDelayAgeMs: computeAge(delay?.endedAtMs),
        configurationAgeMs: computeAge(configuredAtMs),
      };
    },
  };
}
