/** Finds out whether this router itself reaches the targets of each service. */
import * as Decisions from '@sequoiarill/decisions';
import type { ContactSummary, PathState } from '@sequoiarill/decisions';
import type { Clock, Directory, ForwardingTarget } from '@sequoiarill/types';

import * as Events from '../events';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as ServiceSummaries from './serviceSummaries';
import type { ServiceSummary, SummaryClock } from './serviceSummaries';
import type { TargetProbe, TargetProbeResult } from './targetProbe';

/**
 * `busy`: others of its service were heard, or it answers a probe; `paused`: it accepts connections and answers none;
 * `unreached`: its connections are refused or get no response, so that it has ended or is cut off.
 */
export type SilenceCause = 'busy' | 'paused' | 'unreached';

export interface PathMonitor extends Pick<
  ServiceSummaries.ServiceSummaries,
  'recordStart' | 'recordConfiguration' | 'removeMissing'
> {
  /** The target answered, or sent an event of a stream. */
  readonly recordHeard: (target: ForwardingTarget) => void;
  /** A refused or broken connection, or a silence; starts a survey where the path may be the cause. */
  readonly recordLoss: (target: ForwardingTarget) => void;
  readonly getState: (service: string) => PathState;
  /** Whether requests to the service should be sent through another router now. */
  readonly isRelayDue: (service: string) => boolean;
  /**
   * Whether another router may be asked for a request that found no target here, because targets were lost
   * and not because they refuse.
   */
  readonly mayRelay: (service: string) => boolean;
  /** What is known of a target of which nothing arrived since then, monotonic milliseconds. */
  readonly checkSilence: (target: ForwardingTarget, sinceMs: number) => Promise<SilenceCause>;
  /** Whether the target answers a probe within the usual time. */
  readonly checkAnswers: (target: ForwardingTarget) => Promise<boolean>;
  /** Whether a target other than this one has answered since then, or answers a probe. */
  readonly checkOthers: (target: ForwardingTarget, sinceMs: number) => Promise<boolean>;
  /** A target answered a request that another router sent. */
  readonly recordRelayed: (service: string, router: string) => void;
  /** Whether nothing is known to reach the service's targets, here or through another router. */
  readonly isUnreachable: (service: string) => boolean;
  /** No other router could help. */
  readonly recordUntaken: (service: string) => void;
  /** Fields for log lines about lost targets. */
  readonly getSummary: (service: string) => ContactSummary & ServiceSummary;
  readonly dumpState: () => Readonly<Record<string, PathState>>;
  readonly stop: () => void;
}

export interface PathMonitorOptions {
  readonly clock: Pick<Clock, 'waitMs'> & SummaryClock;
  readonly nextRandom: () => number;
  readonly directory: Pick<Directory, 'listTargets' | 'getConfiguration'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  /** Calls the target over a new connection. */
  readonly checkTarget: TargetProbe;
  readonly onHeard: (target: ForwardingTarget) => void;
  /** The service is reached again: judgements from the time before were of the path. */
  readonly onRegained: (service: string) => void;
}

/** A service that was heard this recently is reached, unless several targets were lost since. */
const RECENTLY_HEARD_MS = 200;
const MIN_LOST_TARGETS = 2;
/** A target that is reached usually answers a probe within this time; otherwise others are asked as well. */
const USUAL_ANSWER_MS = 100;
/** Pause between two surveys while no target is reached; the next ones are further apart. */
const SURVEY_PAUSE_MS = { first: 250, last: 1_000, factor: 1.3 } as const;

function listOthers(
  directory: PathMonitorOptions['directory'],
  { id }: ForwardingTarget,
): readonly ForwardingTarget[] {
  const services = [...(directory.getConfiguration()?.services.keys() ?? [])];
  return services.flatMap(directory.listTargets).filter((other) => other.id !== id);
}

function decideCause(result: TargetProbeResult): SilenceCause {
  if (result === 'answered') return 'busy';
  return result === 'accepted' ? 'paused' : 'unreached';
}

type MonitorClock = PathMonitorOptions['clock'];

/** `pending` where the probe takes longer than usual. */
async function waitForUsual(
  clock: MonitorClock,
  check: Promise<TargetProbeResult>,
): Promise<TargetProbeResult | 'pending'> {
  const limit = new AbortController();
  const result = await Promise.race([check, waitUsualTime(clock, limit.signal)]);
  limit.abort();
  return result;
}

/** In running time, since answers that came during a pause of this process are not read yet. */
async function waitUsualTime(clock: MonitorClock, signal: AbortSignal): Promise<'pending'> {
  const endMs = clock.getRunningMs() + USUAL_ANSWER_MS;
  do {
    await clock.waitMs(Math.max(1, endMs - clock.getRunningMs()), signal);
  } while (!signal.aborted && clock.getRunningMs() < endMs);
  return 'pending';
}

export function createPathMonitor(options: PathMonitorOptions): PathMonitor {
  const { clock, directory, log } = options;
  const contacts = Decisions.createTargetContacts();
  const tracker = Decisions.createPathTracker();
  const summaries = ServiceSummaries.createServiceSummaries(clock);
  const surveys = new Map<string, Promise<PathState>>();
  /** Start of the doubt about each path that is not open, monotonic milliseconds. */
  const doubtedAtMs = new Map<string, number>();
  const stopping = new AbortController();

  function recordHeard(target: ForwardingTarget): void {
    contacts.recordHeard(target.service, clock.getNowMs());
    tracker.recordHeard(target.service);
    summaries.recordHeard(target);
    options.onHeard(target);
  }

  const getSummary = (service: string): ContactSummary & ServiceSummary =>
    Object.assign(contacts.getSummary(service, clock.getNowMs()), summaries.getSummary(service));

  async function checkTarget(target: ForwardingTarget): Promise<TargetProbeResult> {
    const result = await options.checkTarget(target);
    if (result === 'answered') recordHeard(target);
    return result;
  }

  /** Asks a few of the targets; returns whether each has answered. */
  async function checkSome(targets: readonly ForwardingTarget[]): Promise<readonly boolean[]> {
    const candidates = targets.map((target) => ({
      target,
      zone: target.zone,
      isLost: contacts.isLost(target),
    }));
    const surveyed = Decisions.selectSurveyed(candidates, options.nextRandom);
    const results = await Promise.all(surveyed.map(({ target }) => checkTarget(target)));
    return results.map((result) => result === 'answered');
  }

  async function runSurvey(service: string): Promise<PathState> {
    const answers = await checkSome(directory.listTargets(service));
    const answered = answers.filter((hasAnswered) => hasAnswered).length;
    return tracker.recordSurvey(service, { asked: answers.length, answered });
  }

  /** Surveys go on until a target is reached. */
  async function watchPath(service: string): Promise<void> {
    doubtedAtMs.set(service, clock.getNowMs());
    log.logEvent(Events.PATH_DOUBTED, { service, ...getSummary(service) });
    let pauseMs: number = SURVEY_PAUSE_MS.first;
    const isPending = () => tracker.getState(service) !== 'open' && !stopping.signal.aborted;
    while (isPending()) {
      await clock.waitMs(pauseMs, stopping.signal);
      pauseMs = Math.min(SURVEY_PAUSE_MS.last, pauseMs * SURVEY_PAUSE_MS.factor);
      if (isPending()) await runSurvey(service);
    }
    if (stopping.signal.aborted) return;
    const lastedMs = Math.round(clock.getNowMs() - (doubtedAtMs.get(service) ?? 0));
    doubtedAtMs.delete(service);
    log.logEvent(Events.PATH_REGAINED, { service, lastedMs });
    options.onRegained(service);
  }

  /** At most one survey of a service at a time; concurrent callers share it. */
  function runSharedSurvey(service: string): Promise<PathState> {
    const running = surveys.get(service);
    if (running !== undefined) return running;
    const started = runSurvey(service).then((state) => {
      surveys.delete(service);
      if (state !== 'open' && !doubtedAtMs.has(service)) {
        watchPath(service).catch((error: unknown) => logFailure(service, error));
      }
      return state;
    });
    surveys.set(service, started);
    return started;
  }

  function logFailure(service: string, error: unknown): void {
    log.logEvent(Events.SURVEY_FAILED, { service, reason: String(error) });
  }

  function isSurveyDue(service: string): boolean {
    if (tracker.getState(service) !== 'open') return false;
    const nowMs = clock.getNowMs();
    const { lostTargets } = contacts.getSummary(service, nowMs);
    return (
      lostTargets >= MIN_LOST_TARGETS || !contacts.hasHeardSince(service, nowMs - RECENTLY_HEARD_MS)
    );
  }

  function startSurvey(service: string): void {
    runSharedSurvey(service).catch((error: unknown) => {
      surveys.delete(service);
      logFailure(service, error);
    });
  }

  return {
    ...summaries,
    recordHeard,
    recordLoss(target) {
      contacts.recordLoss(target);
      if (isSurveyDue(target.service)) startSurvey(target.service);
    },
    getState: tracker.getState,
    isRelayDue: (service) =>
      tracker.getState(service) !== 'open' && tracker.mayRelay(service, clock.getNowMs()),
    mayRelay: (service) =>
      contacts.getSummary(service, clock.getNowMs()).lostTargets > 0 &&
      tracker.mayRelay(service, clock.getNowMs()),
    async checkSilence(target, sinceMs) {
      if (contacts.hasHeardSince(target.service, sinceMs)) return 'busy';
      const check = checkTarget(target);
      if ((await waitForUsual(clock, check)) === 'answered') return 'busy';
      const isOpen = tracker.getState(target.service) === 'open';
      const [result] = await Promise.all([
        check,
        isOpen ? runSharedSurvey(target.service) : undefined,
      ]);
      return decideCause(result);
    },
    checkAnswers: async (target) => (await waitForUsual(clock, checkTarget(target))) === 'answered',
    async checkOthers(target, sinceMs) {
      const others = listOthers(directory, target);
      const services = new Set([target, ...others].map(({ service }) => service));
      if ([...services].some((service) => contacts.hasHeardSince(service, sinceMs))) return true;
      if (others.length === 0) return true;
      return (await checkSome(others)).some((hasAnswered) => hasAnswered);
    },
    recordRelayed(service, router) {
      if (!tracker.recordRelayed(service)) return;
      log.logEvent(Events.PATH_LOST, { service, router, ...getSummary(service) });
    },
    isUnreachable: (service) =>
      tracker.getState(service) !== 'open' && !tracker.mayRelay(service, clock.getNowMs()),
    recordUntaken: (service) => tracker.recordUntaken(service, clock.getNowMs()),
    getSummary,
    dumpState: () =>
      Object.fromEntries(
        [...doubtedAtMs.keys()].map((service) => [service, tracker.getState(service)]),
      ),
    stop: () => stopping.abort(),
  };
}
