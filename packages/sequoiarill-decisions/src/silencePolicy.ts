/**
 * Decides what to do about a run whose target is silent.
 *
 * Load pattern: all targets of a service pause for a second, while a few others crash without closing their connections.
 * A silence alone does not tell these apart. A target that answers is busy; one whose host accepts connections is probably
 * paused and goes on with the run later; one that refuses them has terminated, or is leaving and still answers. So a
 * silent run is given up where a copy makes that cheap, where connections fail, or after a time that is longer than most
 * pauses, and in each case only if another target takes over.
 */

/** What the target's load report says of the run. */
export type RunReport =
  /** The target has the run, or prompts or requests before it. */
  | 'busy'
  /** The target answers, does not list the run among those that it works on, and has requests in its queue. */
  | 'waiting'
  /** The target answers and does not have the run. */
  | 'missing'
  | 'unanswered'
  /** The target has asked for rest and is not queried. */
  | 'resting';

/** What a connection attempt to the target finds: `none` is no response. */
export type ConnectionResult = 'accepted' | 'refused' | 'none';

export interface SilentRunView {
  readonly report: RunReport;
  /** Undefined where it was not tried. */
  readonly connection: ConnectionResult | undefined;
  readonly hasEvents: boolean;
  /** Since the last event, or since the run was sent. */
  readonly silentMs: number;
  /** Whether another target holds a copy of the run's KV cache. */
  readonly hasCopy: boolean;
  /** Time allowed for the first event. */
  readonly firstEventMs: number;
  /** Response time objective of the first event. */
  readonly objectiveMs: number;
  /** Checks in a row, this one included, that the target has not answered. */
  readonly missedChecks: number;
  /** Whether this process is about to end: what is not whole by then is cut. */
  readonly isStopping: boolean;
}

/**
 * `keep`: the run stays where it is, at least until its silence lasts `untilMs`; `takeOver`: another target may take it over, only from a copy of its KV cache where
 * `needsCopy` is set, and only if it has a free slot and KV cache where `needsRoom` is set.
 */
export type SilenceDecision =
  | { readonly kind: 'keep'; readonly untilMs: number }
  | { readonly kind: 'takeOver'; readonly needsCopy: boolean; readonly needsRoom: boolean };

/** After this silence a run continues from its copy, even if its target answers. */
const MAX_SILENCE_WITH_COPY_MS = 450;
/** Without a copy the prompt is prefilled again, which takes seconds, so that waiting is cheaper. */
const MAX_SILENCE_WITHOUT_COPY_MS = 2_500;
/** A first event may take this many times its timeout while the target is busy. */
const FIRST_EVENT_TIMEOUT_FACTOR = 3;
/** Leaves enough of the objective for a prefill elsewhere. */
const MAX_OBJECTIVE_SHARE = 0.4;
const MAX_MISSED_CHECKS = 2;
/** Reports are 100 to 200 ms old, so that an earlier check learns nothing. */
const STOPPING_RECHECK_MS = 250;

const TAKE_OVER: SilenceDecision = { kind: 'takeOver', needsCopy: false, needsRoom: false };
const TAKE_OVER_ROOM: SilenceDecision = { kind: 'takeOver', needsCopy: false, needsRoom: true };
const TAKE_OVER_COPY: SilenceDecision = { kind: 'takeOver', needsCopy: true, needsRoom: false };

/** Time for which a target that accepts connections is waited for although it answers nothing. */
function computePatienceMs({ hasEvents, objectiveMs }: SilentRunView): number {
  return hasEvents ? MAX_SILENCE_WITHOUT_COPY_MS : objectiveMs * MAX_OBJECTIVE_SHARE;
}

/** Time for which a target that has the run is waited for. */
function computeBusyMs({ hasEvents, hasCopy, firstEventMs }: SilentRunView): number {
  if (!hasEvents) return firstEventMs * FIRST_EVENT_TIMEOUT_FACTOR;
  return hasCopy ? MAX_SILENCE_WITH_COPY_MS : MAX_SILENCE_WITHOUT_COPY_MS;
}

function decideUnanswered(view: SilentRunView): SilenceDecision {
  const { hasEvents, hasCopy, silentMs, connection, missedChecks } = view;
  const isRefused = connection === 'refused';
  const isFirstMiss = !hasEvents && missedChecks < MAX_MISSED_CHECKS;
  if (isFirstMiss && !isRefused) return { kind: 'keep', untilMs: silentMs };
  const patienceMs = computePatienceMs(view);
  if (isRefused || connection === 'none' || silentMs >= patienceMs) return TAKE_OVER;
  return hasCopy ? TAKE_OVER_COPY : { kind: 'keep', untilMs: patienceMs };
}

export function decideSilence(view: SilentRunView): SilenceDecision {
  const { report, hasEvents, silentMs, firstEventMs } = view;
  if (report === 'unanswered') return decideUnanswered(view);
  if (report === 'missing') {
    const isFirstDue = !hasEvents && silentMs < firstEventMs;
    return isFirstDue ? { kind: 'keep', untilMs: firstEventMs } : TAKE_OVER;
  }
  const busyMs = computeBusyMs(view);
  if (silentMs >= busyMs) return TAKE_OVER;
  const isFirstDue = !hasEvents && silentMs < firstEventMs;
  const untilMs = isFirstDue ? firstEventMs : busyMs;
  if (!view.isStopping) return { kind: 'keep', untilMs };
  if (report === 'waiting' && !isFirstDue) return TAKE_OVER_ROOM;
  return { kind: 'keep', untilMs: Math.min(untilMs, silentMs + STOPPING_RECHECK_MS) };
}
