/** Quota that other routers have granted, until it expires. */

export interface BorrowedQuota {
  readonly add: (retries: number, untilMs: number) => void;
  readonly count: (nowMs: number) => number;
  /** Takes up to so much; returns how much it was. */
  readonly take: (wanted: number, nowMs: number) => number;
}

interface Grant {
  retries: number;
  readonly untilMs: number;
}

export function createBorrowedQuota(): BorrowedQuota {
  let grants: readonly Grant[] = [];

  function removeExpired(nowMs: number): void {
    grants = grants.filter(({ untilMs, retries }) => untilMs > nowMs && retries > 0);
  }

  return {
    add(retries, untilMs) {
      grants = [...grants, { retries, untilMs }];
    },
    count(nowMs) {
      removeExpired(nowMs);
      return grants.reduce((sum, { retries }) => sum + retries, 0);
    },
    take(wanted, nowMs) {
      removeExpired(nowMs);
      let missing = wanted;
      for (const grant of grants) {
        const used = Math.min(missing, grant.retries);
        grant.retries -= used;
        missing -= used;
      }
      return wanted - missing;
    },
  };
}
