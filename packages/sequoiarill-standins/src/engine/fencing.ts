/** Records the highest fencing number seen for each request or command. */
export type FencingResult = 'newer' | 'current' | 'stale';

export interface FencingRecord {
  /** Compares the number with the highest so far and, unless it is stale, records it. */
  readonly checkNumber: (key: string, fencingNumber: number) => FencingResult;
  readonly clear: () => void;
}

/** Far above the number of requests in any test; the oldest keys are discarded first. */
const MAX_KEYS = 100_000;

export function createFencingRecord(): FencingRecord {
  const highestByKey = new Map<string, number>();

  function checkNumber(key: string, fencingNumber: number): FencingResult {
    const highestSeen = highestByKey.get(key);
    if (highestSeen === fencingNumber) return 'current';
    if (highestSeen !== undefined && fencingNumber < highestSeen) return 'stale';
    highestByKey.delete(key);
    highestByKey.set(key, fencingNumber);
    for (const oldest of highestByKey.keys()) {
      if (highestByKey.size <= MAX_KEYS) break;
      highestByKey.delete(oldest);
    }
    return 'newer';
  }

  return { checkNumber, clear: () => highestByKey.clear() };
}
