/** Which routers count for a content, and how they are told. */
import * as Decisions from '@sequoiarill/decisions';
import type { CrashesOutcome, RouterPeers } from '@sequoiarill/types';

export interface CrashAggregators {
  /** Whether this router ranks among those that count for the content. */
  readonly isAggregator: (content: string) => boolean;
  /**
   * Tells those that rank first, until enough of them have it. Returns whether this router counts for the
   * content, which it also does where no other one answers.
   */
  readonly sendReport: (
    content: string,
    send: (router: string) => Promise<CrashesOutcome>,
  ) => Promise<boolean>;
}

export interface CrashAggregatorsOptions {
  readonly peers: Pick<RouterPeers, 'self' | 'listRouters'>;
  readonly logFailure: (router: string, reason: string) => void;
}

/** Routers that count for a content; one of them may be cut off or end at any moment. */
const AGGREGATORS = 2;
/** Routers that are tried as such, one after the other. */
const MAX_TRIES = 6;

export function createCrashAggregators({
  peers,
  logFailure,
}: CrashAggregatorsOptions): CrashAggregators {
  function listRanked(content: string): readonly string[] {
    const addresses = peers.listRouters().map(({ address }) => address);
    return Decisions.sortByRank(addresses, content);
  }

  return {
    isAggregator: (content) => listRanked(content).slice(0, AGGREGATORS).includes(peers.self),
    async sendReport(content, send) {
      let told = 0;
      let isAggregator = false;
      for (const router of listRanked(content).slice(0, MAX_TRIES)) {
        if (told === AGGREGATORS) return isAggregator;
        if (router === peers.self) {
          told += 1;
          isAggregator = true;
        } else {
          const outcome = await send(router);
          if (outcome.kind === 'counted') told += 1;
          else logFailure(router, outcome.reason);
        }
      }
      return isAggregator || told === 0;
    },
  };
}
