/** Running targets by key, by address and by service. */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as LeavingTargets from './leavingTargets';
import type { Incarnation } from './leavingTargets';

export interface TargetRegistry {
  readonly set: (key: string, target: ForwardingTarget) => void;
  readonly remove: (key: string) => void;
  /** The incarnation stays `draining` until its end, whatever is set later. */
  readonly markLeaving: (key: string, incarnation: Incarnation) => void;
  readonly find: (key: string) => ForwardingTarget | undefined;
  readonly getSize: () => number;
  readonly buildGroupsByService: () => ReadonlyMap<string, readonly ForwardingTarget[]>;
}

export function createTargetRegistry(): TargetRegistry {
  const targets = new Map<string, ForwardingTarget>();
  const keyByAddress = new Map<string, string>();
  const leaving = LeavingTargets.createLeavingTargets();

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
    if (target.state === 'draining') leaving.record(target);
    targets.set(key, leaving.isLeaving(target) ? { ...target, state: 'draining' } : target);
    keyByAddress.set(target.address, key);
  }

  function markLeaving(key: string, incarnation: Incarnation): void {
    leaving.record(incarnation);
    const target = targets.get(key);
    if (target !== undefined) set(key, target);
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
    markLeaving,
    find: (key) => targets.get(key),
    getSize: () => targets.size,
    buildGroupsByService,
  };
}
