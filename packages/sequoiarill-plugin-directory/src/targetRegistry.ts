/** Running targets by key, by address and by service. */
import type { ForwardingTarget } from '@sequoiarill/types';

export interface TargetRegistry {
  readonly set: (key: string, target: ForwardingTarget) => void;
  readonly remove: (key: string) => void;
  readonly find: (key: string) => ForwardingTarget | undefined;
  readonly getSize: () => number;
  readonly buildGroupsByService: () => ReadonlyMap<string, readonly ForwardingTarget[]>;
}

export function createTargetRegistry(): TargetRegistry {
  const targets = new Map<string, ForwardingTarget>();
  const keyByAddress = new Map<string, string>();

  function remove(key: string): void {
    const target = targets.get(key);
    if (target === undefined) return;
    targets.delete(key);
    if (keyByAddress.get(target.address) === key) keyByAddress.delete(target.address);
  }

  /**
   * Failure: a target crashes and restarts under another id before its old entry lapses, and
   * refuses requests for the old id. An address belongs to one incarnation at a time: the latest.
   */
  function set(key: string, target: ForwardingTarget): void {
    remove(key);
    const previousKey = keyByAddress.get(target.address);
    const previous = previousKey === undefined ? undefined : targets.get(previousKey);
    if (previousKey !== undefined && previous !== undefined) {
      if (previous.startedAtUnixMs > target.startedAtUnixMs) return;
      targets.delete(previousKey);
    }
    targets.set(key, target);
    keyByAddress.set(target.address, key);
  }

  function buildGroupsByService(): ReadonlyMap<string, readonly ForwardingTarget[]> {
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
    buildGroupsByService,
  };
}
