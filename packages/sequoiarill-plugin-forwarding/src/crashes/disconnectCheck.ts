/** Decides whether a target that disconnected has terminated, which counts against the request it began to run. */
import type { RunProgress } from '@sequoiarill/decisions';
import type { Clock, ForwardingTarget, Metrics } from '@sequoiarill/types';

import * as Events from '../events';
import * as MetricNames from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import type { PathMonitor } from '../targets/pathMonitor';
import type { IdentityProbe } from '../targets/identityProbe';
import type { TargetProbe, TargetProbeResult } from '../targets/targetProbe';
import type { ExitCheck, ExitCheckResult } from './exitCheck';
import { PART_CRASH_WINDOW_MS } from './partRuns';
import type { KeptRequest } from './targetRuns';

/** A run whose target closed the connection. */
export interface BrokenRun extends RunProgress {
  readonly request: KeptRequest;
  readonly target: ForwardingTarget;
}

export interface DisconnectCheckOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<Metrics, 'addCount'>;
  readonly checkExit: ExitCheck;
  /** Whether the target answers a call over a new connection. */
  readonly checkAnswer: TargetProbe;
  readonly readIdentity: IdentityProbe;
  /** Whether this router still reaches other targets; without them, the exit is no evidence. */
  readonly checkOthers: PathMonitor['checkOthers'];
  /** Whether targets of the service fall over for want of room, whatever they run. */
  readonly isBrittle: (service: string) => boolean;
  /** `isOfContent`: whether it counts against the content, and not against parts of the prompt alone. */
  readonly recordCrash: (run: BrokenRun, isOfContent: boolean) => void;
  /** Runs the second check, for which the request does not wait. */
  readonly runAsync: (calls: readonly Promise<unknown>[]) => void;
}

/** Delay before a target that still accepted a connection is checked again. */
const RECHECK_DELAY_MS = 150;
/** A request that crashes its target does so before its first event or within this time after it. */
export const CONTENT_CRASH_WINDOW_MS = 300;
const MAX_LOGGED_PARTS = 8;

/** Fields of log lines about a broken run. */
export function formatRun({ request, target, hasHead, ranMs }: BrokenRun) {
  return {
    request: request.id,
    content: request.contentKey,
    parts: request.promptParts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id),
    target: target.id,
    hasHead,
    ranMs: ranMs === undefined ? undefined : Math.round(ranMs),
  };
}

export function createDisconnectCheck(options: DisconnectCheckOptions) {
  const { clock, log, metrics } = options;
  const probes = new Map<string, Promise<TargetProbeResult>>();

  function logUncounted(
    run: BrokenRun,
    verdict: Exclude<ExitCheckResult, 'ended'> | 'unreachable' | 'brittle' | 'late',
  ): void {
    log.logEvent(Events.BREAK_NOT_COUNTED, { ...formatRun(run), verdict });
    metrics.addCount(MetricNames.RUN_ENDS, 1, { verdict, counted: 'no' });
  }

  /**
   * Failure: a router that is partitioned from all targets finds every connection refused, and would count a
   * crash of each target against the request that was just sent there.
   */
  async function recordExit(
    run: BrokenRun,
    disconnectedAtMs: number,
    isRefused: boolean,
  ): Promise<void> {
    const { target } = run;
    if (!(await options.checkOthers(target, disconnectedAtMs))) {
      logUncounted(run, 'unreachable');
      return;
    }
    const isBrittle = options.isBrittle(target.service);
    if (isBrittle) logUncounted(run, 'brittle');
    options.recordCrash(run, isRefused && !isBrittle && !isPast(run, CONTENT_CRASH_WINDOW_MS));
  }

  /**
   * Failure: a supervisor starts the next process at the address within milliseconds, and it accepts connections. A
   * terminating process may still accept one as well, while it closes the others.
   */
  async function checkExitAgain(run: BrokenRun, disconnectedAtMs: number): Promise<void> {
    const id = await options.readIdentity(run.target);
    if (id !== undefined && id !== run.target.id) {
      await recordExit(run, disconnectedAtMs, true);
      return;
    }
    await clock.waitMs(RECHECK_DELAY_MS);
    const result = await options.checkExit(run.target);
    if (result === 'ended') await recordExit(run, disconnectedAtMs, true);
    else if (hasParts(run) && (await checkAnswer(run.target)) === 'closed') {
      await recordExit(run, disconnectedAtMs, false);
    } else logUncounted(run, result);
  }

  /**
   * Failure: a proxy before the target accepts connections for it while it is down. At most one probe of a target at
   * a time.
   */
  async function checkAnswer(target: ForwardingTarget): Promise<TargetProbeResult> {
    const running = probes.get(target.id);
    if (running !== undefined) return running;
    const probe = options.checkAnswer(target).finally(() => probes.delete(target.id));
    probes.set(target.id, probe);
    return probe;
  }

  async function checkExit(run: BrokenRun): Promise<void> {
    const disconnectedAtMs = clock.getNowMs();
    const result = await options.checkExit(run.target);
    if (result === 'ended') await recordExit(run, disconnectedAtMs, true);
    else options.runAsync([checkExitAgain(run, disconnectedAtMs)]);
  }

  /** A run that has produced events for a while is not the cause of a crash. */
  return async function checkDisconnect(run: BrokenRun): Promise<void> {
    if (!isPast(run, CONTENT_CRASH_WINDOW_MS)) await checkExit(run);
    else if (hasParts(run) && !isPast(run, PART_CRASH_WINDOW_MS)) {
      options.runAsync([checkExit(run)]);
    } else logUncounted(run, 'late');
  };
}

function hasParts({ request }: BrokenRun): boolean {
  return request.promptParts.length > 0;
}

export function isPast({ ranMs }: BrokenRun, windowMs: number): boolean {
  return ranMs !== undefined && ranMs > windowMs;
}
