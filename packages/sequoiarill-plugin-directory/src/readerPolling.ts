/** Queries a reader of the zone instead of the store, until it fails or confirms nothing in time. */
import * as Kernel from '@sequoiarill/kernel';
import type { Clock } from '@sequoiarill/types';

import type { Confirmation } from './confirmation';
import * as Pacing from './pacing';
import type { RecordsOutcome, RecordsQuery } from './peerMessages';

export type ReaderRecords = Extract<RecordsOutcome, { kind: 'records' }>;

export interface ReaderPollingOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'waitMs'>;
  readonly confirmation: Confirmation;
  readonly readPeer: (reader: string, query: RecordsQuery) => Promise<RecordsOutcome>;
  /** Called for each response, before its confirmation is recorded. */
  readonly applyRecords: (records: ReaderRecords) => void;
}

/** Why the reader is not queried any more; undefined if another one is to be queried. */
export type ReaderFailure = string | undefined;

const { getEra } = Kernel.Revisions;
/**
 * Age at which a router stops relying on its reader. A reader with a silent connection has queried the store
 * again before; a router that leaves its reader then has time for two calls of its own within two seconds.
 */
export const MAX_READER_AGE_MS = 1_400;
const OVERDUE: RecordsOutcome = { kind: 'failed', reason: 'it has confirmed nothing in time' };
/** A reader that knows more responds at once; a full read that took long must not make a router leave it. */
const MIN_RESPONSE_MS = 250;
/** Longer than the time between two confirmations of a reader. */
const READER_QUERY_WAIT_MS = 1_000;

/** Why a reader must not be queried any more; undefined for a usable response. */
function decideReaderFailure(outcome: RecordsOutcome, seenRevision: number): ReaderFailure {
  if (outcome.kind === 'failed') return outcome.reason;
  if (outcome.ageMs >= MAX_READER_AGE_MS) return 'its state is out of date';
  const isBehind = getEra(outcome.seenRevision) < getEra(seenRevision);
  return isBehind ? 'it does not know yet that the store was restored' : undefined;
}

/**
 * A reader that does not tell how long it held the query may have confirmed its state at any time since; its
 * age is then taken as of now.
 */
function computeConfirmedAtMs(records: ReaderRecords, sentAtMs: number, nowMs: number): number {
  const { ageMs, heldMs } = records;
  return heldMs === undefined ? nowMs - ageMs : Math.min(nowMs, sentAtMs + heldMs) - ageMs;
}

export function createReaderPolling(options: ReaderPollingOptions) {
  const { clock, confirmation } = options;
  const { getSeenRevision } = confirmation;

  /** Fails when the confirmed state here is too old, whether the reader has responded or not. */
  async function readInTime(reader: string): Promise<RecordsOutcome> {
    const ageMs = confirmation.getAgeMs();
    const answered = new AbortController();
    const query = { afterRevision: getSeenRevision(), waitMs: READER_QUERY_WAIT_MS, ageMs };
    const leftMs = Math.max(MIN_RESPONSE_MS, MAX_READER_AGE_MS - ageMs);
    const overdue = clock.waitMs(leftMs, answered.signal).then(() => OVERDUE);
    const outcome = await Promise.race([options.readPeer(reader, query), overdue]);
    answered.abort();
    return outcome;
  }

  return {
    async run(
      signal: AbortSignal,
      reader: string,
      isChosen: () => boolean,
      waitAfterChanges: () => Promise<void>,
    ): Promise<ReaderFailure> {
      while (!signal.aborted && isChosen()) {
        const sentAtMs = clock.getNowMs();
        const outcome = await readInTime(reader);
        const reason = decideReaderFailure(outcome, getSeenRevision());
        if (outcome.kind === 'failed' || reason !== undefined) return reason;
        options.applyRecords(outcome);
        if (!outcome.isTruncated) {
          confirmation.recordConfirmed(computeConfirmedAtMs(outcome, sentAtMs, clock.getNowMs()));
        }
        if (outcome.records.length > 0) await waitAfterChanges();
        else await Pacing.waitForNextCall(clock, sentAtMs, signal);
      }
      return undefined;
    },
  };
}
