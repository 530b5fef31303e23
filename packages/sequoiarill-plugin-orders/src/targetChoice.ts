/**
 * Chooses the target of one order: least in flight, in turn among equals. Pure: the monotonic clock
 * is an argument.
 *
 * Load pattern: a few targets, one of them slow or dead. Least in flight sends a slow target less
 * without any report of its load, since its orders stay open longer. A dead one would look idle and
 * attract every order, so one that refused a connection is passed over for a moment; after it, a
 * single order tries it again before others do. While it stays dead the pause doubles: in a zone that
 * is cut off, each try costs one caller the whole connect timeout.
 *
 * Load pattern: saturation. Orders above what a target may have at once are turned away rather than
 * queued: their callers wait seconds at most, and a queue would hand them on when they have left.
 */
import type { Configuration, ServiceTarget } from '@sequoiarill/types';

export interface TargetChooser {
  /** `undefined` if every live target was tried, is full, or is passed over. */
  readonly chooseTarget: (
    candidates: readonly ServiceTarget[],
    tried: ReadonlySet<string>,
    nowMs: number,
  ) => ServiceTarget | undefined;
  /** Whether a target takes no more just because it has all the orders it may have. */
  readonly hasFull: (candidates: readonly ServiceTarget[]) => boolean;
  readonly addInFlight: (target: string) => void;
  readonly removeInFlight: (target: string) => void;
  /** The target took no connection. */
  readonly markPassedOver: (target: string, nowMs: number) => void;
  /** The target answered. */
  readonly recordAnswer: (target: string) => void;
  readonly listPassedOver: (nowMs: number) => readonly string[];
}

interface Pause {
  readonly untilMs: number;
  /** Connections refused in a row. */
  readonly failures: number;
}

/** At the default of 2 s, a target that came back gets work after 32 s at most. */
const MAX_DOUBLINGS = 4;

export interface TargetChooserOptions {
  readonly maxInFlight: number;
  readonly passOverMs: number;
}

export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const inFlight = new Map<string, number>();
  const pauses = new Map<string, Pause>();
  let turn = 0;

  function getInFlight(target: string): number {
    return inFlight.get(target) ?? 0;
  }

  function isOpen(target: string, nowMs: number): boolean {
    const untilMs = pauses.get(target)?.untilMs;
    if (untilMs === undefined) return getInFlight(target) < options.maxInFlight;
    return nowMs >= untilMs && getInFlight(target) === 0;
  }

  return {
    chooseTarget(candidates, tried, nowMs) {
      const open = candidates.filter(({ name }) => !tried.has(name) && isOpen(name, nowMs));
      turn += 1;
      const shift = open.length === 0 ? 0 : turn % open.length;
      const inTurn = [...open.slice(shift), ...open.slice(0, shift)];
      return inTurn.reduce<ServiceTarget | undefined>(
        (best, target) =>
          best === undefined || getInFlight(target.name) < getInFlight(best.name) ? target : best,
        undefined,
      );
    },
    hasFull: (candidates) =>
      candidates.some(({ name }) => getInFlight(name) >= options.maxInFlight),
    addInFlight: (target) => inFlight.set(target, getInFlight(target) + 1),
    removeInFlight(target) {
      const count = getInFlight(target) - 1;
      if (count > 0) inFlight.set(target, count);
      else inFlight.delete(target);
    },
    markPassedOver(target, nowMs) {
      const known = pauses.get(target);
      // Orders that were on their way when the pause began tell nothing new.
      if (known !== undefined && nowMs < known.untilMs) return;
      const failures = (known?.failures ?? 0) + 1;
      const doublings = Math.min(failures - 1, MAX_DOUBLINGS);
      pauses.set(target, { untilMs: nowMs + options.passOverMs * 2 ** doublings, failures });
    },
    recordAnswer: (target) => pauses.delete(target),
    listPassedOver: (nowMs) =>
      [...pauses].filter(([, { untilMs }]) => nowMs < untilMs).map(([target]) => target),
  };
}

/** Targets of a service that may get work: a leaving VM gets none. */
export function listServiceTargets(
  configuration: Configuration,
  service: string,
): readonly ServiceTarget[] {
  const targets: ServiceTarget[] = [];
  for (const target of configuration.targets.values()) {
    const isOfService = target.kind === 'service' && target.service === service;
    if (isOfService && target.vmState === 'live') targets.push(target);
  }
  return targets;
}
