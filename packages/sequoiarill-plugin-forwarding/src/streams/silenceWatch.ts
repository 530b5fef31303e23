/** Watches over a run whose target is silent, until the target goes on or the run is given up. */
import * as Decisions from '@sequoiarill/decisions';
import type { ConnectionResult, RunReport, SilentRunView } from '@sequoiarill/decisions';

import type { ForwardingDependencies } from '../dependencies';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import * as Events from '../events';
import type { KeptReason, SilenceLog } from '../targets/silenceLog';
import type { TargetContact } from '../targets/contactCheck';
import * as SilenceProbes from './silenceProbe';
import type { SilenceProbeOptions, SilenceStart } from './silenceProbe';
import type { Reservation, SilentRun, Takeover } from './takeover';
import type { Plan, RelayPlan } from './streamPlan';

/** Reserves the send that would follow this attempt. */
export interface AttemptTakeover {
  readonly reserve: (run: Omit<SilentRun, 'target' | 'copy'>) => Promise<Reservation>;
  readonly release: Takeover['release'];
}

export interface SilenceWatchOptions extends SilenceProbeOptions {
  readonly call: Pick<TargetCall, 'readEvent'>;
  readonly takeover: AttemptTakeover;
  /** Whether its caller had events before this attempt. */
  readonly isBegun: boolean;
  readonly silences: SilenceLog;
}

/**
 * `gone`: no target is known to run the request, and its caller learns it now; `outOfTime`: the run waits at its target
 * and can't be whole before this process ends.
 */
type RunEnd =
  | { readonly kind: 'takenOver'; readonly next: Plan | RelayPlan }
  | { readonly kind: 'gone' }
  | { readonly kind: 'outOfTime' };

/** The next event of the call, or why the run is given up. */
export type SilenceEnd = CallEvent | RunEnd;

/** Pause between two checks of a target that stays silent. */
const RECHECK_MS = { first: 100, last: 250, factor: 1.5 } as const;

type TakeoverTerms = Pick<
  Extract<Decisions.SilenceDecision, { kind: 'takeOver' }>,
  'needsCopy' | 'needsRoom'
>;

type CheckResult = RunEnd | { readonly kind: 'wait'; readonly ms: number };

/** Each check that finds no repeat asks other routers for theirs. */
const NO_REPEAT_RECHECK_MS = 1_000;
/** A run without events at a target whose host does not respond for this long is given up in any case. */
const MAX_UNREACHABLE_MS = 1_000;
/** How often a pause between two checks looks whether the process is about to end; without a call. */
const STOP_POLL_MS = 250;

function isCheckResult(result: CheckResult | CallEvent): result is CheckResult {
  const { kind } = result;
  return kind === 'wait' || kind === 'takenOver' || kind === 'gone' || kind === 'outOfTime';
}

const LOGGED_ENDS = {
  head: 'spoke',
  data: 'spoke',
  end: 'closed',
  broken: 'closed',
  gone: 'closed',
  outOfTime: 'expired',
  timeout: 'expired',
  cancelled: 'callerLeft',
} as const;

function decideContact(report: RunReport, connection: ConnectionResult): TargetContact {
  if (report === 'busy' || report === 'waiting' || report === 'missing') return 'answers';
  if (connection === 'accepted') return 'accepts';
  return connection === 'refused' ? 'refuses' : 'unreachable';
}

/** Whether the next check comes when the time of a busy target is over. */
function isTimeGranted(
  { report, hasEvents, silentMs, firstEventMs, isStopping }: SilentRunView,
  { kind }: Decisions.SilenceDecision,
): boolean {
  const hasRun = report === 'busy' || report === 'waiting';
  return hasRun && !isStopping && kind === 'keep' && (hasEvents || silentMs >= firstEventMs);
}

const ANY_TARGET: TakeoverTerms = { needsCopy: false, needsRoom: false };

/** Whether the caller should ask another router now. A run that has events, or must not be repeated, stays. */
function isOutOfTime(
  { waits }: ForwardingDependencies,
  { request, isBegun }: SilenceWatchOptions,
  { hasEvents }: SilenceStart,
): boolean {
  if (hasEvents || isBegun || request.route.retryPolicy === 'once') return false;
  return !waits.hasTimeFor(request);
}

/** Ends early when the process begins to stop: then a run that waits may have to go elsewhere. */
async function waitForCheck(
  { clock, isDraining }: ForwardingDependencies,
  ms: number,
  signal: AbortSignal,
): Promise<undefined> {
  const wasDraining = isDraining();
  const untilMs = clock.getRunningMs() + ms;
  for (let leftMs = ms; leftMs > 0; leftMs = untilMs - clock.getRunningMs()) {
    await clock.waitMs(wasDraining ? leftMs : Math.min(leftMs, STOP_POLL_MS), signal);
    if (signal.aborted || isDraining() !== wasDraining) return;
  }
}

export function createSilenceWatch(
  dependencies: ForwardingDependencies,
  options: SilenceWatchOptions,
  start: SilenceStart,
): () => Promise<SilenceEnd> {
  const { clock, log } = dependencies;
  const { hasEvents, sinceMs } = start;
  const probe = SilenceProbes.createSilenceProbe(dependencies, options, start);
  const { request, call, timeouts, takeover, silences } = options;
  const checkIntervalMs = request.route.objectiveMs / SilenceProbes.CHECKS_PER_OBJECTIVE;
  let recheckMs: number = RECHECK_MS.first;
  /** No other target could take the run over when this was asked last. */
  let wasKept: KeptReason | undefined;
  let hadGrace = false;
  let unreachableSinceMs: number | undefined;
  /** The target was busy and was granted a time that is over at the next check. */
  let isTimeUsed = false;

  /**
   * Whether a caller without events learns now that no target can run its request. A run that has events, or must not be
   * repeated, stays: a target that leaves is not listed, accepts no connections, and still answers.
   */
  function isGone(): boolean {
    const unreachableMs = clock.getRunningMs() - (unreachableSinceMs ?? Number.POSITIVE_INFINITY);
    return (
      !hasEvents && request.route.retryPolicy !== 'once' && unreachableMs >= MAX_UNREACHABLE_MS
    );
  }

  function takeRecheckMs(): number {
    const ms = recheckMs;
    recheckMs = Math.min(RECHECK_MS.last, recheckMs * RECHECK_MS.factor);
    return ms;
  }

  /**
   * Failure: targets that were paused together go on, one of them answers first, and takes over a run whose own target
   * would have gone on a few milliseconds later.
   */
  function isGraceDue(view: SilentRunView): boolean {
    const wasAlone = wasKept === 'noOtherAnswers' || wasKept === 'promptReadAgain';
    const mayGoOn = view.connection === undefined || view.connection === 'accepted';
    return wasAlone && !hadGrace && mayGoOn;
  }

  async function runTakeover(view: SilentRunView, terms: TakeoverTerms): Promise<CheckResult> {
    const isUnreachable = view.connection === 'none' || view.connection === 'refused';
    const { silentMs } = view;
    const reservation = await takeover.reserve({ ...terms, isUnreachable, silentMs });
    if (reservation.kind === 'reserved') {
      const { next } = reservation;
      if (!isGraceDue(view)) {
        logLate(recordTakenOver(view));
        return { kind: 'takenOver', next };
      }
      hadGrace = true;
      takeover.release(next);
      return { kind: 'wait', ms: timeouts.gapMs };
    }
    wasKept = reservation.reason;
    return decideKept(view, reservation.reason);
  }

  async function readConnection({ report, connection }: SilentRunView): Promise<ConnectionResult> {
    return connection ?? (report === 'unanswered' ? probe.checkConnection() : 'accepted');
  }

  async function decideKept(view: SilentRunView, kept: KeptReason): Promise<CheckResult> {
    const connection = await readConnection(view);
    const nowMs = clock.getRunningMs();
    unreachableSinceMs = connection === 'none' ? (unreachableSinceMs ?? nowMs) : undefined;
    if (isGone()) return { kind: 'gone' };
    const isNewFailure = view.connection === undefined && connection !== 'accepted';
    if (isNewFailure) return runTakeover({ ...view, connection }, ANY_TARGET);
    recordKept(view, connection, kept);
    return { kind: 'wait', ms: kept === 'noRepeatLeft' ? NO_REPEAT_RECHECK_MS : takeRecheckMs() };
  }

  function recordKept(view: SilentRunView, connection: ConnectionResult, kept: KeptReason): void {
    const contact = decideContact(view.report, connection);
    silences.recordSilent({ sinceMs, contact, kept });
  }

  /** The run does not wait for the connection attempt that completes its log line. */
  async function recordTakenOver(view: SilentRunView): Promise<void> {
    const contact = decideContact(view.report, await readConnection(view));
    silences.recordSilent({ sinceMs, contact });
    silences.recordEnd('continued');
  }

  function logLate(recording: Promise<void>): void {
    recording.catch((error: unknown) =>
      log.logEvent(Events.SILENCE_CHECK_FAILED, { request: request.id, error }),
    );
  }

  /** Only a target that has yet to send its first event is checked at intervals while it answers. */
  function computeWaitMs(
    { report, silentMs, firstEventMs }: SilentRunView,
    untilMs: number,
  ): number {
    const leftMs = untilMs - silentMs;
    if (!hasEvents && silentMs < firstEventMs) return Math.min(leftMs, checkIntervalMs);
    return report === 'unanswered' ? Math.min(leftMs, takeRecheckMs()) : leftMs;
  }

  async function runCheck(): Promise<CheckResult> {
    const view = await probe.readView(isTimeUsed && !dependencies.isDraining());
    const decision = Decisions.decideSilence(view);
    isTimeUsed = isTimeGranted(view, decision);
    if (decision.kind === 'takeOver') {
      const { needsCopy, needsRoom } = decision;
      if (needsRoom && isOutOfTime(dependencies, options, start)) return { kind: 'outOfTime' };
      return runTakeover(view, { needsCopy, needsRoom });
    }
    if (view.connection === 'accepted') recordKept(view, view.connection, 'promptReadAgain');
    return { kind: 'wait', ms: computeWaitMs(view, decision.untilMs) };
  }

  /** Gives back what a check reserves that has not ended when the target goes on. */
  function releaseLate(checking: Promise<CheckResult>): void {
    checking.then(
      (result) => result.kind === 'takenOver' && takeover.release(result.next),
      (error: unknown) => log.logEvent(Events.SILENCE_CHECK_FAILED, { request: request.id, error }),
    );
  }

  function recordEnd({ kind }: SilenceEnd): void {
    if (kind !== 'takenOver') silences.recordEnd(LOGGED_ENDS[kind]);
  }

  /** One read awaits the next event of the call, also while the target is checked. */
  async function waitForNext(): Promise<SilenceEnd> {
    const reading = call.readEvent(request.expiresAtMs - clock.getNowMs());
    for (;;) {
      const checking = runCheck();
      const first = await Promise.race([reading, checking]);
      if (!isCheckResult(first)) {
        releaseLate(checking);
        return first;
      }
      if (first.kind !== 'wait') return first;
      const timer = new AbortController();
      const event = await Promise.race([
        reading,
        waitForCheck(dependencies, first.ms, timer.signal),
      ]);
      timer.abort();
      if (event !== undefined) return event;
    }
  }

  return async function waitForEnd(): Promise<SilenceEnd> {
    const end = await waitForNext();
    recordEnd(end);
    return end;
  };
}
