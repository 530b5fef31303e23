/**
 * Chooses the target of an order: the one with the fewest in-flight orders, round-robin among
 * equals. Deterministic, since the monotonic time is an argument.
 *
 * Load pattern: a few targets, one of which is slow or dead. A slow target receives fewer orders
 * without reporting its load, since its orders stay in flight longer. A dead target would look idle
 * and attract every order, so after a failed connection it is skipped for a while (backoff); then a
 * single order probes it before others follow. While the target stays dead, the backoff doubles,
 * because in a zone that is cut off each probe costs one caller the full connect timeout.
 *
 * Load pattern: saturation. Orders above the in-flight limits of the targets are rejected instead of
 * queued: callers wait for seconds at most, and a queue would send their orders when they have
 * already disconnected.
 */
import type { Configuration, ServiceTarget } from '@sequoiarill/types';

export interface TargetChooser {
  /** `undefined` if every candidate was tried, is at its in-flight limit, or is in its backoff. */
  readonly chooseTarget: (
    candidates: readonly ServiceTarget[],
    triedTargets: ReadonlySet<string>,
    nowMs: number,
  ) => ServiceTarget | undefined;
  /** Whether any candidate has reached its limit of in-flight orders. */
  readonly hasFullTarget: (candidates: readonly ServiceTarget[]) => boolean;
  readonly addInFlight: (target: string) => void;
  readonly removeInFlight: (target: string) => void;
  /** Starts or extends the backoff after a failed connection to the target. */
  readonly markConnectionFailed: (target: string, nowMs: number) => void;
  /** Ends the backoff of a target that answered. */
  readonly recordAnswer: (target: string) => void;
  readonly listBackedOffTargets: (nowMs: number) => readonly string[];
}

interface Backoff {
  readonly untilMs: number;
  /** Number of consecutive failed connections, each counted once per backoff. */
  readonly failures: number;
}

/** With the default `passOverMs` of 2 s, a recovered target receives orders after 32 s at most. */
const MAX_BACKOFF_DOUBLINGS = 4;

export interface TargetChooserOptions {
  readonly maxInFlight: number;
  /** First backoff after a failed connection; it doubles while connections keep failing. */
  readonly passOverMs: number;
}

export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const inFlight = new Map<string, number>();
  const backoffs = new Map<string, Backoff>();
  let roundRobinCount = 0;

  function getInFlight(target: string): number {
    return inFlight.get(target) ?? 0;
  }

  function isAvailable(target: string, nowMs: number): boolean {
    const untilMs = backoffs.get(target)?.untilMs;
    if (untilMs === undefined) return getInFlight(target) < options.maxInFlight;
    return nowMs >= untilMs && getInFlight(target) === 0;
  }

  return {
    chooseTarget(candidates, triedTargets, nowMs) {
      const available = candidates.filter(
        ({ name }) => !triedTargets.has(name) && isAvailable(name, nowMs),
      );
      roundRobinCount += 1;
      const offset = available.length === 0 ? 0 : roundRobinCount % available.length;
      const rotated = [...available.slice(offset), ...available.slice(0, offset)];
      return rotated.reduce<ServiceTarget | undefined>(
        (leastLoaded, target) =>
          leastLoaded === undefined || getInFlight(target.name) < getInFlight(leastLoaded.name)
            ? target
            : leastLoaded,
        undefined,
      );
    },
    hasFullTarget: (candidates) =>
      candidates.some(({ name }) => getInFlight(name) >= options.maxInFlight),
    addInFlight: (target) => inFlight.set(target, getInFlight(target) + 1),
    removeInFlight(target) {
      const count = getInFlight(target) - 1;
      if (count > 0) inFlight.set(target, count);
      else inFlight.delete(target);
    },
    markConnectionFailed(target, nowMs) {
      const existing = backoffs.get(target);
      // Orders that were already in flight when the backoff began add no information.
      if (existing !== undefined && nowMs < existing.untilMs) return;
      const failures = (existing?.failures ?? 0) + 1;
      const doublings = Math.min(failures - 1, MAX_BACKOFF_DOUBLINGS);
      backoffs.set(target, { untilMs: nowMs + options.passOverMs * 2 ** doublings, failures });
    },
    recordAnswer: (target) => backoffs.delete(target),
    listBackedOffTargets: (nowMs) =>
      [...backoffs].filter(([, { untilMs }]) => nowMs < untilMs).map(([target]) => target),
  };
}

/** Targets of a service that may receive orders, which excludes those on a leaving VM. */
export function listServiceTargets(
  configuration: Configuration,
  service: string,
): readonly ServiceTarget[] {
  const targets: ServiceTarget[] = [];
  for (const target of configuration.targets.values()) {
    const isServiceTarget = target.kind === 'service' && target.service === service;
    if (isServiceTarget && target.vmState === 'live') targets.push(target);
  }
  return targets;
}
