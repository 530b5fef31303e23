/** What a router finds out about a run whose target is silent. */
import type {
  ConnectionResult,
  RunReport,
  SilentRunView,
  StallLimits,
} from '@sequoiarill/decisions';
import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

export interface SilenceProbe {
  readonly checkConnection: () => Promise<ConnectionResult>;
  /** `isBusy`: the target is known to have the run, so that it is not queried. */
  readonly readView: (isBusy: boolean) => Promise<SilentRunView>;
}

export interface SilenceProbeOptions {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly hasCopy: () => boolean;
  readonly timeouts: StallLimits;
}

export interface SilenceStart {
  readonly hasEvents: boolean;
  /** Time of the last event, or of the send; running time. */
  readonly sinceMs: number;
}

/** A live target responds to a probe within a few milliseconds. */
const PROBE_TIMEOUT_MS = 35;
/**
 * Failure: an engine becomes unreachable while it prefills a prompt. No event is due for seconds,
 * so the caller waits that long and then for the whole prefill on another engine; its first event
 * is late. So the engine is probed this many times within the objective of the first event. The
 * loss is then detected early enough to prefill elsewhere. Most prompts are prefilled within one or
 * two checks, so these cost less than they save.
 */
export const CHECKS_PER_OBJECTIVE = 6;
/** Timeout of such a check. */
const CHECK_TIMEOUT_MS = 120;

function decideReport(report: EngineReport, id: string, hasEvents: boolean): RunReport {
  const isPrefilling = !hasEvents && report.prefilling > 0;
  if (report.runIds.includes(id)) return 'busy';
  if (report.queued > 0) return 'waiting';
  return isPrefilling ? 'busy' : 'missing';
}

const CONNECTION_RESULTS = { alive: 'accepted', ended: 'refused', silent: 'none' } as const;

export function createSilenceProbe(
  dependencies: ForwardingDependencies,
  { request, target, hasCopy, timeouts }: SilenceProbeOptions,
  { hasEvents, sinceMs }: SilenceStart,
): SilenceProbe {
  const { clock, contacts, notices } = dependencies;
  let missedChecks = 0;

  async function readReport(): Promise<RunReport> {
    if (notices.isResting(target)) return 'resting';
    const limitMs = hasEvents ? PROBE_TIMEOUT_MS : CHECK_TIMEOUT_MS;
    const report = await dependencies.readReport(target, limitMs);
    missedChecks = report === undefined ? missedChecks + 1 : 0;
    return report === undefined ? 'unanswered' : decideReport(report, request.id, hasEvents);
  }

  async function checkConnection(): Promise<ConnectionResult> {
    return CONNECTION_RESULTS[await contacts.checkConnection(target)];
  }

  return {
    checkConnection,
    async readView(isBusy) {
      const report = isBusy ? 'busy' : await readReport();
      const isCopied = hasCopy();
      return {
        report,
        // A copy makes it cheap to go on elsewhere, whatever the connection shows.
        connection: report === 'unanswered' && !isCopied ? await checkConnection() : undefined,
        hasEvents,
        silentMs: clock.getRunningMs() - sinceMs,
        hasCopy: isCopied,
        firstEventMs: timeouts.firstTokenMs,
        objectiveMs: request.route.objectiveMs,
        missedChecks,
        isStopping: dependencies.isDraining(),
      };
    },
  };
}
