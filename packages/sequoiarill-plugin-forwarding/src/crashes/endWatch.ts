/**
 * Finds out that an incarnation of a target has ended where no connection shows it: it fell silent, another process has
 * its address, or the directory lists it no more.
 */
import type { Clock, Directory, ForwardingTarget } from '@sequoiarill/types';

import type { PathMonitor } from '../targets/pathMonitor';
import * as Incarnations from '../targets/targetIncarnation';
import type { IdentityProbe } from '../targets/identityProbe';
import type { ContactProbe } from '../targets/targetProbe';
import type { TargetRuns, UnansweredRun } from './targetRuns';

/**
 * `ended`: its address refuses connections; `replaced`: another process answers there; `removed`: it is listed no more
 * and does not answer; `silent`: it does not answer, while other targets do.
 */
export type EndVerdict = 'ended' | 'replaced' | 'removed' | 'silent';

export interface EndWatch {
  /** Looks for ended targets once; called again and again. */
  readonly checkTargets: () => void;
  /** Looks for targets that the directory lists no more. */
  readonly applyDirectory: () => void;
}

export interface EndWatchOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly runs: Pick<
    TargetRuns,
    'checkSilences' | 'listTargets' | 'hasHeardSince' | 'takeUnanswered'
  >;
  readonly directory: Pick<Directory, 'findCurrent'>;
  readonly readContact: ContactProbe;
  readonly readIdentity: IdentityProbe;
  readonly checkOthers: PathMonitor['checkOthers'];
  readonly recordEnd: (run: UnansweredRun, verdict: EndVerdict) => void;
  readonly recordUncounted: (verdict: 'alive' | 'unreachable') => void;
  /** Runs checks, for which nothing waits. */
  readonly runAsync: (calls: readonly Promise<unknown>[]) => void;
}

export function createEndWatch(options: EndWatchOptions): EndWatch {
  const { clock, runs, directory, runAsync } = options;
  const checked = new Set<string>();
  /** Incarnations that were last listed as draining: their end is planned. */
  const leaving = new Set<string>();

  async function decideVerdict(
    target: ForwardingTarget,
    isRemoved: boolean,
  ): Promise<EndVerdict | 'alive' | 'unreachable'> {
    const startedMs = clock.getNowMs();
    const contact = await options.readContact(target);
    if (contact === 'answers') {
      const id = await options.readIdentity(target);
      return id === undefined || id === target.id ? 'alive' : 'replaced';
    }
    if (runs.hasHeardSince(target, startedMs)) return 'alive';
    if (isRemoved) return 'removed';
    // A router that is cut off from all targets finds them all silent, or refusing.
    if (!(await options.checkOthers(target, startedMs))) return 'unreachable';
    return contact === 'refuses' ? 'ended' : 'silent';
  }

  async function checkTarget(target: ForwardingTarget, isRemoved: boolean): Promise<void> {
    const verdict = await decideVerdict(target, isRemoved);
    if (verdict === 'alive' || verdict === 'unreachable') options.recordUncounted(verdict);
    else {
      runs.takeUnanswered(target).forEach((run) => options.recordEnd(run, verdict));
    }
  }

  /** At most one check of an incarnation at a time. */
  function startCheck(target: ForwardingTarget, isRemoved: boolean): void {
    const key = Incarnations.formatIncarnation(target);
    if (checked.has(key) || leaving.has(key)) return;
    checked.add(key);
    runAsync([checkTarget(target, isRemoved).finally(() => checked.delete(key))]);
  }

  return {
    checkTargets() {
      for (const target of runs.checkSilences()) {
        startCheck(target, directory.findCurrent(target) === undefined);
      }
    },
    applyDirectory() {
      const targets = runs.listTargets();
      const keys = new Set(targets.map(Incarnations.formatIncarnation));
      for (const key of leaving) if (!keys.has(key)) leaving.delete(key);
      for (const target of targets) {
        const current = directory.findCurrent(target);
        if (current?.state === 'draining') leaving.add(Incarnations.formatIncarnation(target));
        if (current === undefined) startCheck(target, true);
      }
    },
  };
}
