/**
 * Decides where the copy of a run's KV cache belongs, and when it is renewed.
 *
 * When zones crash in turn and a zone is partitioned some seconds after a crash, a run whose engine
 * crashed continues at its copy, outside its router's zone. The next copy cannot go to the router's
 * zone, which is down, so run and copy are both behind the link that fails next, and the caller
 * waits for a prefill of its full prompt. So either the run or the copy stays in the router's zone:
 * as soon as engines there respond again, the copy is moved to one of them. A copy that was made on
 * command does not grow, and its holder drops it after some time, so it is renewed before that.
 */

export interface CopyActionQuery {
  readonly runZone: string;
  /** Zone of the router that holds the caller's connection. */
  readonly routerZone: string;
  readonly holderZone: string;
  /** The holder is in the directory, accepts work and is not suspected to be down. */
  readonly isHolderAvailable: boolean;
  /** Some engine of the router's zone could hold the copy. */
  readonly isLocalZoneAvailable: boolean;
  /** Time since the copy command, milliseconds; undefined for a backup that grows with its run. */
  readonly ageMs: number | undefined;
  /** Time after which a holder drops a copy that does not grow, milliseconds. */
  readonly lifetimeMs: number;
}

/** `move` makes a copy at another holder; `renew` sends the same holder only what it lacks. */
export type CopyAction = 'keep' | 'move' | 'renew';

/** Two renewals in each lifetime, since one copy command may fail or be late. */
const RENEWALS_PER_LIFETIME = 2;

/** Whether the loss of one link makes both the run and its copy unreachable. */
function isRunAndCopyRemote({ runZone, routerZone, holderZone }: CopyActionQuery): boolean {
  return runZone !== routerZone && holderZone !== routerZone;
}

export function decideCopyAction(query: CopyActionQuery): CopyAction {
  const { isHolderAvailable, isLocalZoneAvailable, ageMs, lifetimeMs } = query;
  if (!isHolderAvailable) return 'move';
  if (isLocalZoneAvailable && isRunAndCopyRemote(query)) return 'move';
  if (ageMs !== undefined && ageMs >= lifetimeMs / RENEWALS_PER_LIFETIME) return 'renew';
  return 'keep';
}
