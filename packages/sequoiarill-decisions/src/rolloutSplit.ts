/**
 * Which versions of a service a request may go to.
 *
 * Load pattern: usual load, of which a small share is risked on a new version. Spread over all new targets
 * the share leaves each of them nearly idle, and a fault under load shows only when everything has moved.
 * So few of them get it, each about as much as an old target.
 */
import type { RolloutPhase } from '@sequoiarill/types';

import { sortByRank } from './rendezvousHashing';

export interface VersionedTarget {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly startedAtUnixMs: number;
  readonly warmupLeftMs: number;
}

export interface RolloutSplit {
  readonly phase: RolloutPhase;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Of the requests, while the version is on probation. */
  readonly share: number;
  /** Identities of targets of the version that are left out. */
  readonly avoided: ReadonlySet<string>;
}

/** The version that most targets have, and of two the one that started first. */
export function findBaseVersion(
  targets: readonly VersionedTarget[],
  except?: string,
): string | undefined {
  const groups = new Map<string, { count: number; firstMs: number }>();
  for (const { version, startedAtUnixMs } of targets) {
    if (version !== except) {
      const group = groups.get(version) ?? { count: 0, firstMs: startedAtUnixMs };
      group.count += 1;
      group.firstMs = Math.min(group.firstMs, startedAtUnixMs);
      groups.set(version, group);
    }
  }
  const [base] = [...groups].sort(
    ([, left], [, right]) => right.count - left.count || left.firstMs - right.firstMs,
  );
  return base?.[0];
}

/** Targets of the version that get its share of the requests. */
export function selectCanaries<Target extends VersionedTarget>(
  targets: readonly Target[],
  { share, avoided }: Pick<RolloutSplit, 'share' | 'avoided'>,
): readonly Target[] {
  const warm = targets.filter(({ warmupLeftMs }) => warmupLeftMs === 0);
  const trusted = (warm.length > 0 ? warm : targets).filter(({ id }) => !avoided.has(id));
  const byId = new Map(trusted.map((target) => [target.id, target]));
  const ranked = sortByRank([...byId.keys()], targets[0]?.service ?? '');
  const count = Math.max(1, Math.round(targets.length * share));
  return ranked.slice(0, count).flatMap((id) => byId.get(id) ?? []);
}

/** `split` is undefined where no roll-out was ever ordered: a version that nobody ordered gets nothing. */
export function selectVersion<Target extends VersionedTarget>(
  targets: readonly Target[],
  split: RolloutSplit | undefined,
  draw: number,
): readonly Target[] {
  const selectOf = (version: string | undefined): readonly Target[] =>
    targets.filter((target) => target.version === version);
  if (split === undefined) return selectOf(findBaseVersion(targets));
  const { phase, fromVersion, toVersion, share } = split;
  if (phase === 'completed') return selectOf(toVersion);
  if (phase === 'moving') {
    const next = selectOf(toVersion);
    return next.length > 0 ? next : selectOf(fromVersion);
  }
  const isOnProbation = phase === 'canary' || phase === 'trial';
  if (!isOnProbation || draw >= share) return selectOf(fromVersion);
  const canaries = selectCanaries(selectOf(toVersion), split);
  return canaries.length > 0 ? canaries : selectOf(fromVersion);
}

/** Whether work in progress at the version is to end or go on elsewhere. */
export function isVersionLeaving(
  version: string,
  { phase, fromVersion, toVersion }: RolloutSplit,
): boolean {
  if (fromVersion === toVersion) return false;
  if (phase === 'moving' || phase === 'completed') return version !== toVersion;
  return phase === 'rolledBack' && version === toVersion;
}
