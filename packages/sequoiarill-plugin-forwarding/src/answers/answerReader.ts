/** Reads the answer of a target that may fall silent. */
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import * as ForwardRequests from '../forwardRequest';
import type { ForwardRequest } from '../forwardRequest';
import * as TargetCalls from '../targets/targetCall';
import type { CallEvent, TargetCall } from '../targets/targetCall';
import type { NextSend } from './nextSend';

/** Silence after which the path to the target is checked; the next checks are further apart. */
const FIRST_CHECK_MS = 250;
/** Time between checks of a target that may be replaced by another one. */
const RECHECK_MS = 500;

export interface AnswerReaderOptions {
  readonly request: ForwardRequest;
  readonly target: ForwardingTarget;
  readonly call: TargetCall;
  /** Time after which another target is preferred. */
  readonly attemptTimeoutMs: number;
  readonly next: NextSend;
}

export interface AnswerReader {
  /** The next event; `timeout` when the time of the request is up, or the target is given up for the next send. */
  readonly readNext: () => Promise<CallEvent>;
  readonly close: () => void;
}

/**
 * Failure: all targets of a service are paused for a second and then go on where they were. Requests that were given up
 * for this silence would have been answered, and no other target could take them. So silence ends an attempt only where
 * another target answers. A request that no other target may run stays until the answer, the end of the connection or
 * its time limit, also where this router alone has lost its path to the target: its caller could not repeat it after an
 * earlier failure, and the answer may still arrive.
 */
export function createAnswerReader(
  dependencies: ForwardingDependencies,
  options: AnswerReaderOptions,
): AnswerReader {
  const { clock } = dependencies;
  const { request, call } = options;
  const closing = new AbortController();
  const progress = { events: 0, lastEventAtMs: Number.NEGATIVE_INFINITY };
  let watchEnd: 'givenUp' | Readonly<{ error: unknown }> | undefined;

  function stopRead(end: typeof watchEnd): void {
    if (closing.signal.aborted) return;
    watchEnd = end;
    call.cancel();
  }

  const watch = createSilenceWatch(dependencies, options, progress);
  watch(closing.signal).then(
    () => stopRead('givenUp'),
    (error: unknown) => stopRead({ error }),
  );

  return {
    async readNext() {
      const expiresAtMs = ForwardRequests.getDeadlineMs(request);
      const deadlines = { silenceDeadlineMs: Number.POSITIVE_INFINITY, expiresAtMs };
      const event = await TargetCalls.readNextEvent(clock, call, deadlines);
      progress.events += 1;
      progress.lastEventAtMs = clock.getRunningMs();
      if (event.kind !== 'cancelled' || watchEnd === undefined) return event;
      if (watchEnd !== 'givenUp') throw watchEnd.error;
      return { kind: 'timeout' };
    },
    close: () => closing.abort(),
  };
}

/** Events of an answer that have arrived; the time is running time. */
interface AnswerProgress {
  readonly events: number;
  readonly lastEventAtMs: number;
}

/** Returns a function that resolves when the target is given up, or the watch is stopped. */
function createSilenceWatch(
  { clock, paths }: ForwardingDependencies,
  { request, target, call, attemptTimeoutMs, next }: AnswerReaderOptions,
  progress: AnswerProgress,
): (signal: AbortSignal) => Promise<void> {
  const { route, sink } = request;
  const sentAtMs = clock.getNowMs();
  const sentAtRunningMs = clock.getRunningMs();
  let nextCheckMs = Math.min(FIRST_CHECK_MS, attemptTimeoutMs);
  /** No other target answered at the last check. */
  let wasAlone = false;

  /** The time for which a slow caller was waited for is not the target's. */
  function getElapsedMs(): number {
    return clock.getRunningMs() - sentAtRunningMs - (sink?.getUnreadMs().totalMs ?? 0);
  }

  /** No other target can follow once an answer is passed on. */
  function isFinal(): boolean {
    return route.retryPolicy === 'once' || sink?.isStarted() === true;
  }

  /** Whether others were heard during the silence, and not only at its end. */
  function hasHeardOthers(): boolean {
    const { heardAgeMs = Number.POSITIVE_INFINITY } = paths.getSummary(request.service);
    return heardAgeMs >= FIRST_CHECK_MS && heardAgeMs < clock.getNowMs() - sentAtMs;
  }

  /** Whether the answer is arriving: another target would run the request again, and end later. */
  function isArriving(): boolean {
    return clock.getRunningMs() - progress.lastEventAtMs < FIRST_CHECK_MS;
  }

  /** Also lets the router find out that it has lost its path. */
  async function checkTarget(isLate: boolean): Promise<'planned' | 'alone' | 'stays'> {
    if (isLate && !isFinal() && (await next.plan(undefined))) return 'planned';
    const cause = await paths.checkSilence(target, sentAtMs);
    if (cause !== 'busy') paths.recordLoss(target);
    if (isFinal() || (cause === 'busy' && !isLate)) return 'stays';
    if (cause === 'busy') return 'alone';
    if (cause === 'paused' && !hasHeardOthers()) wasAlone = true;
    return (await next.plan(cause)) ? 'planned' : 'alone';
  }

  /**
   * Targets that were paused together answer together: the one that holds the request gets a moment before another one
   * takes over.
   */
  async function isGivenUp(isLate: boolean): Promise<boolean> {
    if (isArriving()) {
      nextCheckMs = getElapsedMs() + FIRST_CHECK_MS;
      return false;
    }
    const eventsBefore = progress.events;
    const result = await checkTarget(isLate);
    const hasSpoken = progress.events !== eventsBefore;
    if (result === 'planned' && !wasAlone && !hasSpoken) return true;
    if (result === 'planned') next.cancel();
    wasAlone = result === 'alone';
    nextCheckMs = computeNextCheckMs(result, isLate);
    return false;
  }

  function computeNextCheckMs(result: 'planned' | 'alone' | 'stays', isLate: boolean): number {
    const elapsedMs = getElapsedMs();
    if (result === 'planned') return elapsedMs + FIRST_CHECK_MS;
    const laterMs = result === 'alone' ? elapsedMs + RECHECK_MS : elapsedMs * 2;
    return isLate ? laterMs : Math.min(laterMs, Math.max(elapsedMs, attemptTimeoutMs));
  }

  return async function watchSilence(signal) {
    let isOver = false;
    while (!isOver) {
      await waitRunning(clock, nextCheckMs - getElapsedMs(), signal);
      const isLate = getElapsedMs() >= attemptTimeoutMs;
      if (signal.aborted) isOver = true;
      else if (call.wasSent()) isOver = await isGivenUp(isLate);
      else if (isLate) isOver = true;
      else nextCheckMs = computeNextCheckMs('stays', isLate);
    }
  };
}

/** In running time: a pause of this process is no silence of the target. */
async function waitRunning(
  clock: Pick<Clock, 'getRunningMs' | 'waitMs'>,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  const endMs = clock.getRunningMs() + ms;
  do {
    await clock.waitMs(Math.max(1, endMs - clock.getRunningMs()), signal);
  } while (!signal.aborted && clock.getRunningMs() < endMs);
}
