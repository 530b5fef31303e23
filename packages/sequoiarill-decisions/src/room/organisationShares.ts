/**
 * Shares of organisations in the work that the engines of a service can do.
 *
 * Load pattern: one organisation sends nine tenths of a load that is above the capacity. Without shares, every
 * request has the same chance, and the others lose as large a part of their requests as the one that causes the
 * overload. Capacity is therefore divided by max-min fairness: small demands are met entirely, and the large ones
 * share the rest.
 */

export interface OrganisationDemand {
  readonly organisation: string;
  /** Work asked for, per second, by level; 0 is the most urgent level. */
  readonly demand: readonly number[];
}

export interface ShareMarker {
  /** Whether the next request of the key counts as within its share. */
  readonly markNext: (key: string, fraction: number) => boolean;
}

/**
 * Part of each less urgent level that is filled before the rest of any of them, so that none starves: each level
 * is to be served at least a quarter as often as all together.
 */
const PROTECTED_FRACTION = 1 / 3;
/**
 * Part of the capacity that is shared out. Demand and capacity are measured over seconds and known seconds later, so
 * sharing all of it marks at times more than engines take, and the least urgent streams of small organisations wait
 * behind those of a large one. Streams beyond their share use the rest.
 */
const SHARED_CAPACITY = 0.9;
/** Keys for which the marked part is tracked, the most recently used ones; bounds the memory. */
const MAX_MARKER_KEYS = 4_096;
/** Absorbs rounding errors of sums, so that a fraction of a half marks every second request. */
const EPSILON = 1e-9;

function computeValid(value: number): number {
  return Number.isFinite(value) && value > 0 ? value : 0;
}

/** Fills the smallest demands first; each gets at most an equal part of what is left. */
function computeMaxMinShares(
  totals: ReadonlyMap<string, number>,
  capacity: number,
): ReadonlyMap<string, number> {
  const ascending = [...totals].sort((left, right) => left[1] - right[1]);
  const shares = new Map<string, number>();
  let left = capacity;
  for (const [index, [organisation, total]] of ascending.entries()) {
    const share = Math.min(total, left / (ascending.length - index));
    shares.set(organisation, share);
    left -= share;
  }
  return shares;
}

/** Divides one organisation's share among its levels and returns the filled fraction of each. */
function computeLevelFractions(demand: readonly number[], share: number): readonly number[] {
  const [urgent = 0, ...others] = demand;
  let left = Math.max(0, share - urgent);
  const protectedTotal = others.reduce((sum, value) => sum + value, 0) * PROTECTED_FRACTION;
  // If the protected parts exceed what is left, all levels get the same fraction of theirs.
  const scale = protectedTotal === 0 ? 1 : Math.min(1, left / protectedTotal);
  left -= protectedTotal * scale;
  const fractions = [urgent === 0 ? 1 : Math.min(1, share / urgent)];
  for (const value of others) {
    const taken = Math.min(value * (1 - PROTECTED_FRACTION), Math.max(0, left));
    left -= taken;
    const fraction = value === 0 ? 1 : PROTECTED_FRACTION * scale + taken / value;
    fractions.push(fraction > 1 - EPSILON ? 1 : fraction);
  }
  return fractions;
}

/**
 * Returns the part of each organisation's requests, by level, that counts as within its share. Numbers that are
 * negative or not finite count as 0. Entries of the same organisation are added up.
 */
export function computeShareFractions(
  work: readonly OrganisationDemand[],
  capacity: number,
): ReadonlyMap<string, readonly number[]> {
  const demands = new Map<string, readonly number[]>();
  for (const { organisation, demand } of work) {
    const known = demands.get(organisation) ?? [];
    const length = Math.max(known.length, demand.length);
    const sums = Array.from(
      { length },
      (_, level) => (known[level] ?? 0) + computeValid(demand[level] ?? 0),
    );
    demands.set(organisation, sums);
  }
  const totals = new Map(
    [...demands].map(([organisation, demand]) => [
      organisation,
      demand.reduce((sum, value) => sum + value, 0),
    ]),
  );
  const validCapacity = computeValid(capacity) * SHARED_CAPACITY;
  const total = [...totals.values()].reduce((sum, value) => sum + value, 0);
  const isEnough = total <= validCapacity / SHARED_CAPACITY;
  const shares = computeMaxMinShares(totals, validCapacity);
  return new Map(
    [...demands].map(([organisation, demand]) => [
      organisation,
      isEnough ? demand.map(() => 1) : computeLevelFractions(demand, shares.get(organisation) ?? 0),
    ]),
  );
}

/** Starting phase of a key, so that many keys with one request each are marked in proportion as well. */
function computePhase(key: string): number {
  let hash = 0;
  for (let index = 0; index < key.length; index += 1) {
    hash = (Math.imul(hash, 31) + key.charCodeAt(index)) % 65_536;
  }
  // The golden ratio spreads consecutive hashes evenly over [0, 1).
  return (Math.abs(hash) * 0.618_033_988_75) % 1;
}

/** Marks requests by error diffusion: the marked part follows the fraction without random numbers. */
export function createShareMarker(): ShareMarker {
  const sums = new Map<string, number>();

  function markNext(key: string, fraction: number): boolean {
    const bounded = Math.min(1, computeValid(fraction));
    // Not tracked: marking all or none changes no key's phase.
    if (bounded === 1) return true;
    if (bounded === 0) return false;
    const sum = (sums.get(key) ?? computePhase(key)) + bounded;
    const isMarked = sum >= 1 - EPSILON;
    sums.delete(key);
    sums.set(key, isMarked ? Math.max(0, sum - 1) : sum);
    const oldest = sums.size > MAX_MARKER_KEYS ? sums.keys().next().value : undefined;
    if (oldest !== undefined) sums.delete(oldest);
    return isMarked;
  }

  return { markNext };
}
