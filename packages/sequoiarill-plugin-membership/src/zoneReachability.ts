/**
 * Which other zones this router reaches. Only a router's zone mates hear its heartbeats and may
 * declare it dead; of a zone that does not answer, nothing is known but that.
 */

/** Calls to different routers in a row; one or two fail when single routers die. */
const FAILURES_UNTIL_AWAY = 3;

export interface ZoneReach {
  readonly recordSuccess: (zone: string) => void;
  readonly recordFailure: (zone: string) => void;
  readonly isAway: (zone: string) => boolean;
  readonly listAway: () => readonly string[];
}

export function createZoneReach(): ZoneReach {
  const failures = new Map<string, number>();

  function isAway(zone: string): boolean {
    return (failures.get(zone) ?? 0) >= FAILURES_UNTIL_AWAY;
  }

  return {
    recordSuccess(zone) {
      failures.delete(zone);
    },
    recordFailure(zone) {
      failures.set(zone, (failures.get(zone) ?? 0) + 1);
    },
    isAway,
    listAway: () => [...failures.keys()].filter(isAway).sort(),
  };
}
