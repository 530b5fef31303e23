/** Which routers count for a content, and how they are told. */
import * as Decisions from '@sequoiarill/decisions';
import type { CrashesOutcome, RouterPeers } from '@sequoiarill/types';

export interface CrashCounters {
  /** Whether this router ranks among those that count for the content. */
  readonly isCounter: (content: string) => boolean;
  /**
   * Tells those that rank first, until enough of them have it. Returns whether this router counts for the
   * content, which it also does where no other one answers.
   */
  readonly sendReport: (
    content: string,
    send: (router: string) => Promise<CrashesOutcome>,
  ) => Promise<boolean>;
}

export interface CrashCountersOptions {
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Routers that count for a content; one of them may be cut off or end at any moment. */
const COUNTERS = 2;
/** Routers that are tried as such, one after the other. */
const MAX_TRIES = 6;

export function createCrashCounters({ peers, logFailure }: CrashCountersOptions): CrashCounters {
  function listRanked(content: string): readonly string[] {
    const addresses = peers.listRouters().map(({ address }) => address);
    return Decisions.sortByRank(addresses, content);
  }

  return {
    isCounter: (content) => listRanked(content).slice(0, COUNTERS).includes(peers.self),
    async sendReport(content, send) {
      let told = 0;
      let isCounter = false;
      for (const router of listRanked(content).slice(0, MAX_TRIES)) {
        if (told === COUNTERS) return isCounter;
        if (router === peers.self) {
          told += 1;
          isCounter = true;
        } else {
          const outcome = await send(router);
          if (outcome.kind === 'counted') told += 1;
          else logFailure(router, outcome.reason);
        }
      }
      return isCounter || told === 0;
    },
  };
}
