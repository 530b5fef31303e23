/**
 * Revisions that order all changes of a store, also after it was restored from an older copy.
 *
 * Such a store gives out numbers again that it had given out before, and counts how often it was restored. A
 * revision holds that count, its era, above the number of the store: every change of a later era is newer than
 * all changes of earlier ones. 0 stands for no change.
 */

/** Numbers within one era; the product with the number of eras stays within the safe integers. */
const NUMBERS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 13 - 1;

/** `era`: how often the store was restored; `number`: the store's own revision number. */
export function buildRevision(era: number, number: number): number {
  return number === 0 ? 0 : Math.min(era, MAX_ERA) * NUMBERS_PER_ERA + number;
}

export function getEra(revision: number): number {
  return Math.floor(revision / NUMBERS_PER_ERA);
}

/** The revision number that the store itself gave. */
export function getNumber(revision: number): number {
  return revision % NUMBERS_PER_ERA;
}

/** Both parts, as log lines name them. */
export function splitRevision(revision: number): {
  readonly era: number;
  readonly revision: number;
} {
  return { era: getEra(revision), revision: getNumber(revision) };
}

/** A revision that is newer than all of earlier eras and older than all of its own. */
export function getEraStart(revision: number): number {
  return getEra(revision) * NUMBERS_PER_ERA;
}

/**
 * Whether two revisions are the same change. A copy from which a store is restored holds its changes under the
 * numbers that they had.
 */
export function isSameChange(left: number, right: number): boolean {
  return getNumber(left) === getNumber(right);
}
