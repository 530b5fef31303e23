/** The targets that live, by key, by address and by service. */
import type { ForwardingTarget } from '@sequoiarill/types';

export interface TargetTable {
  readonly set: (key: string, target: ForwardingTarget) => void;
  readonly remove: (key: string) => void;
  readonly find: (key: string) => ForwardingTarget | undefined;
  readonly getSize: () => number;
  readonly buildGroups: () => ReadonlyMap<string, readonly ForwardingTarget[]>;
}

export function createTargetTable(): TargetTable {
  const targets = new Map<string, ForwardingTarget>();
  const keyByAddress = new Map<string, string>();

  function remove(key: string): void {
    const target = targets.get(key);
    if (target === undefined) return;
    targets.delete(key);
    if (keyByAddress.get(target.address) === key) keyByAddress.delete(target.address);
  }

  /**
   * Failure: a target crashes and starts again under another id before its old entry lapses; requests
   * for the old one are refused by the new one. One address serves one life at a time: the latest.
   */
  function set(key: string, target: ForwardingTarget): void {
    remove(key);
    const otherKey = keyByAddress.get(target.address);
    const other = otherKey === undefined ? undefined : targets.get(otherKey);
    if (otherKey !== undefined && other !== undefined) {
      if (other.startedAtUnixMs > target.startedAtUnixMs) return;
      targets.delete(otherKey);
    }
    targets.set(key, target);
    keyByAddress.set(target.address, key);
  }

  function buildGroups(): ReadonlyMap<string, readonly ForwardingTarget[]> {
    const groups = new Map<string, ForwardingTarget[]>();
    for (const target of targets.values()) {
      const group = groups.get(target.service);
      if (group === undefined) groups.set(target.service, [target]);
      else group.push(target);
    }
    return groups;
  }

  return {
    set,
    remove,
    find: (key) => targets.get(key),
    getSize: () => targets.size,
    buildGroups,
  };
}
