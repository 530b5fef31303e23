/** Keeps the known targets, delays their removals, and adds what was learned without the store. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  DecodedTarget,
  Directory,
  ForwardingTarget,
  ForwardingWire,
  LogEvent,
} from '@sequoiarill/types';

import * as DelayedRemovals from './delayedRemovals';
import * as Events from './events';
import type { DirectoryRecord } from './recordCache';
import * as TargetRegistries from './targetRegistry';
import type { TargetRegistry } from './targetRegistry';

export interface DirectoryTargets extends Pick<TargetRegistry, 'getSize' | 'buildGroupsByService'> {
  readonly applyRecord: (record: DirectoryRecord) => void;
  /** Current state of the same incarnation. */
  readonly findCurrent: Directory['findCurrent'];
  /** Returns false if nothing has changed. */
  readonly recordReplacement: (replaced: ForwardingTarget, id: string) => boolean;
  /** Returns false if nothing has changed. */
  readonly recordLeaving: (target: ForwardingTarget) => boolean;
  /** Removes targets whose delay has passed; returns false if there is none. */
  readonly removeDue: () => boolean;
  readonly delayRemovalsUntil: (untilMs: number) => void;
  readonly isDelaying: () => boolean;
}

export interface DirectoryTargetsOptions {
  readonly wire: Pick<ForwardingWire, 'decodeTarget' | 'targetPrefix'>;
  readonly logEvent: LogEvent;
  readonly getNowMs: () => number;
}

const { splitRevision } = Kernel.Revisions;

export function createDirectoryTargets(options: DirectoryTargetsOptions): DirectoryTargets {
  const { wire, logEvent, getNowMs } = options;
  const targets = TargetRegistries.createTargetRegistry();
  const removals = DelayedRemovals.createDelayedRemovals(targets, getNowMs);
  /** Keys of replacement targets that no record has confirmed. */
  const replacementKeys = new Set<string>();

  /** The content of an entry that is too long is not known here. */
  function decodeTarget(key: string, value: string): DecodedTarget {
    if (value === '') return { kind: 'malformed', reason: 'the entry is empty or too long' };
    return wire.decodeTarget(key, value);
  }

  function applyRecord({ key, revision, value }: DirectoryRecord): void {
    removals.cancelRemoval(key);
    const isReplacement = replacementKeys.delete(key);
    const known = targets.find(key);
    if (value === undefined) {
      removals.removeTarget(key);
      return;
    }
    const decoded = decodeTarget(key, value);
    if (decoded.kind === 'target') {
      targets.set(key, decoded.target);
      // The entry gives the start time of the same incarnation, which was not known before.
      if (isReplacement && known?.state === 'draining') targets.markLeaving(key, decoded.target);
    } else {
      targets.remove(key);
      const { reason } = decoded;
      logEvent(Events.TARGET_REFUSED, { key, ...splitRevision(revision), reason });
    }
  }

  /**
   * Failure: engines crash and restart during a store outage. Their new incarnations are unknown,
   * so each crash leaves fewer targets, and a stream is refused by one target after another. An
   * incarnation found at a known address therefore replaces the previous one, until the store
   * reports it or does not confirm it.
   */
  function recordReplacement(replaced: ForwardingTarget, id: string): boolean {
    const key = `${wire.targetPrefix}${id}`;
    if (targets.find(key) !== undefined) return false;
    const startedAtUnixMs = replaced.startedAtUnixMs + 1;
    const found = { ...replaced, id, startedAtUnixMs, isVersionPresumed: true };
    targets.set(key, { ...found, state: 'ready' });
    if (targets.find(key) === undefined) return false;
    replacementKeys.add(key);
    logEvent(Events.TARGET_LEARNED, { target: id, replaced: replaced.id, zone: replaced.zone });
    return true;
  }

  function recordLeaving(target: ForwardingTarget): boolean {
    if (findCurrent(target)?.state === 'draining') return false;
    targets.markLeaving(`${wire.targetPrefix}${target.id}`, target);
    return true;
  }

  function findCurrent(
    target: Pick<ForwardingTarget, 'id' | 'startedAtUnixMs'>,
  ): ForwardingTarget | undefined {
    const current = targets.find(`${wire.targetPrefix}${target.id}`);
    return current?.startedAtUnixMs === target.startedAtUnixMs ? current : undefined;
  }

  return {
    applyRecord,
    findCurrent,
    recordReplacement,
    recordLeaving,
    removeDue() {
      const dueKeys = removals.takeDue();
      dueKeys.forEach((key) => replacementKeys.delete(key));
      return dueKeys.length > 0;
    },
    delayRemovalsUntil: (untilMs) => removals.delayUntil(untilMs, replacementKeys),
    isDelaying: removals.isDelaying,
    getSize: targets.getSize,
    buildGroupsByService: targets.buildGroupsByService,
  };
}
