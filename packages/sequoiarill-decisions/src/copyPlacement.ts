/**
 * Where the copy of a running generation should be, and when it is made anew.
 *
 * Load pattern: zones crash in turn, and some seconds after a crash a zone is cut off. A run whose
 * engine crashed goes on at its copy, in another zone than its router's; the next copy cannot go to
 * the router's own zone, which is down, and so run and copy are both beyond the link that is cut
 * next. The caller then waits for its whole prompt to be read again. So one of run and copy is kept
 * in the router's zone: as soon as engines answer there again, the copy is ordered to one of them.
 * A copy that was ordered does not grow and is dropped by its keeper after a while, so it is renewed
 * in time.
 */

export interface CopyQuestion {
  readonly runZone: string;
  /** Zone of the router that holds the caller's connection. */
  readonly routerZone: string;
  readonly holderZone: string;
  /** The keeper is known, takes work and is under no suspicion. */
  readonly isHolderAvailable: boolean;
  /** Some engine of the router's zone could keep the copy. */
  readonly isLocalZoneAvailable: boolean;
  /** Since it was ordered, milliseconds; undefined for one that grows with its run. */
  readonly ageMs: number | undefined;
  /** Time after which a keeper drops a copy that does not grow, milliseconds. */
  readonly lifetimeMs: number;
}

/** `move`: to another keeper. `renew`: to the same, which gets only what is new. */
export type CopyAction = 'keep' | 'move' | 'renew';

/** Twice in a lifetime: one order may fail or be late. */
const RENEWALS_PER_LIFETIME = 2;

/** Whether both ends of the run are lost with one link. */
function isBeyondOneLink({ runZone, routerZone, holderZone: keeperZone }: CopyQuestion): boolean {
  return runZone !== routerZone && keeperZone !== routerZone;
}

export function decideCopyAction(question: CopyQuestion): CopyAction {
  const {
    isHolderAvailable: isKeeperSafe,
    isLocalZoneAvailable: isHomeOpen,
    ageMs,
    lifetimeMs,
  } = question;
  if (!isKeeperSafe) return 'move';
  if (isHomeOpen && isBeyondOneLink(question)) return 'move';
  if (ageMs !== undefined && ageMs >= lifetimeMs / RENEWALS_PER_LIFETIME) return 'renew';
  return 'keep';
}
