/**
 * Selects the targets of a service for new work when the directory cannot confirm some of them.
 *
 * The entries of live targets expire while the store is unavailable and return within two seconds
 * of its recovery; without these targets every request to the service is refused for that time. But
 * after a network partition a router sees the same when a target has left for good, and would send
 * work to a VM that is shutting down. So unconfirmed targets are used only where an expired entry
 * is the likely cause: they outnumber the confirmed ones, or all confirmed ones are suspected to be
 * down. A single unconfirmed target is not used: an order server that is replaced around the end of
 * a zone's partition would otherwise receive requests for longer than a leaving VM may.
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
  const isExpiryLikely = unconfirmed.length > ready.length || ready.every(isSuspect);
  return isExpiryLikely ? [...ready, ...unconfirmed] : ready;
}
