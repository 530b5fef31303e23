/**
 * Tracks which other zones this router can reach. Only routers of the same zone receive a router's
 * heartbeats and may declare it dead; routers of an unreachable zone may be alive.
 */

/** Consecutive failures; single failed routers can cause one or two. */
const FAILURES_UNTIL_UNREACHABLE = 3;

export interface ZoneReachability {
  readonly recordSuccess: (zone: string) => void;
  readonly recordFailure: (zone: string) => void;
  readonly isUnreachable: (zone: string) => boolean;
  readonly listUnreachable: () => readonly string[];
}

export function createZoneReachability(): ZoneReachability {
  const failures = new Map<string, number>();

  function isUnreachable(zone: string): boolean {
    return (failures.get(zone) ?? 0) >= FAILURES_UNTIL_UNREACHABLE;
  }

  return {
    recordSuccess(zone) {
      failures.delete(zone);
    },
    recordFailure(zone) {
      failures.set(zone, (failures.get(zone) ?? 0) + 1);
    },
    isUnreachable,
    listUnreachable: () => [...failures.keys()].filter(isUnreachable).sort(),
  };
}
