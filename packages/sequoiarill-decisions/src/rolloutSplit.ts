/**
 * Selects the version of a service that a request goes to.
 *
 * Load pattern: normal load, of which a small share goes to a new version. Spread over all new targets, the
 * share would leave each of them nearly idle, and a fault under load would show only after all requests
 * have moved. So only a few of them get it, each with about the load of an old target.
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
  /** Share of the requests that the version gets in the phases `canary` and `trial`. */
  readonly share: number;
  /** Identities of targets of the version that get no requests. */
  readonly avoided: ReadonlySet<string>;
}

/** Finds the version with the most targets; among equals, the one whose first target started earliest. */
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

/** Selects the targets of the new version that get its share of the requests. */
export function selectCanaries<Target extends VersionedTarget>(
  targets: readonly Target[],
  { share, avoided }: Pick<RolloutSplit, 'share' | 'avoided'>,
): readonly Target[] {
  const warm = targets.filter(({ warmupLeftMs }) => warmupLeftMs === 0);
  const eligible = (warm.length > 0 ? warm : targets).filter(({ id }) => !avoided.has(id));
  const byId = new Map(eligible.map((target) => [target.id, target]));
  const ranked = sortByRank([...byId.keys()], targets[0]?.service ?? '');
  const count = Math.max(1, Math.round(targets.length * share));
  return ranked.slice(0, count).flatMap((id) => byId.get(id) ?? []);
}

/** `split` is undefined if no roll-out was ever ordered; then only the base version gets requests. */
export function selectVersion<Target extends VersionedTarget>(
  targets: readonly Target[],
  split: RolloutSplit | undefined,
  draw: number,
): readonly Target[] {
  const selectByVersion = (version: string | undefined): readonly Target[] =>
    targets.filter((target) => target.version === version);
  if (split === undefined) return selectByVersion(findBaseVersion(targets));
  const { phase, fromVersion, toVersion, share } = split;
  if (phase === 'completed') return selectByVersion(toVersion);
  if (phase === 'moving') {
    const next = selectByVersion(toVersion);
    return next.length > 0 ? next : selectByVersion(fromVersion);
  }
  const isCanarying = phase === 'canary' || phase === 'trial';
  if (!isCanarying || draw >= share) return selectByVersion(fromVersion);
  const canaries = selectCanaries(selectByVersion(toVersion), split);
  return canaries.length > 0 ? canaries : selectByVersion(fromVersion);
}

/** Whether work in progress at the version has to end or continue at another version. */
export function isVersionLeaving(
  version: string,
  { phase, fromVersion, toVersion }: RolloutSplit,
): boolean {
  if (fromVersion === toVersion) return false;
  if (phase === 'moving' || phase === 'completed') return version !== toVersion;
  return phase === 'rolledBack' && version === toVersion;
}
