/**
 * Which targets of a service new work may go to, when the directory is unsure of some.
 *
 * Load pattern: entries of live targets lapse while the store is away, and are back within two seconds
 * of its return; without these targets a whole service is refused for that time. But a router that was
 * cut off sees the same when a target has left for good, and work that it sends there after its
 * own return is work for a VM that is leaving. So unconfirmed targets are used where a lapse is the
 * likely cause: more of them than of the confirmed ones, or no confirmed one that answers. Single
 * targets that went are left alone: order servers that are replaced around the end of a zone's cut would
 * get requests for longer than a leaving VM may.
 */
import type { TargetLocation } from './suspectTracker';

export interface AvailableCandidate extends TargetLocation {
  readonly state: 'ready' | 'draining' | 'unconfirmed';
}

export function selectAvailable<Candidate extends AvailableCandidate>(
  targets: readonly Candidate[],
  isSuspect: (target: Candidate) => boolean,
): readonly Candidate[] {
  const ready = targets.filter(({ state }) => state === 'ready');
  const unconfirmed = targets.filter(({ state }) => state === 'unconfirmed');
  const isLapse = unconfirmed.length > ready.length || ready.every(isSuspect);
  return isLapse ? [...ready, ...unconfirmed] : ready;
}
