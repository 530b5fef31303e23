/**
 * At most once across routers: an order that may not be repeated is claimed in the platform's
 * key-value service before it is sent, under its organisation, service and `Idempotency-Key`.
 *
 * Two keys are written in one transaction that demands that neither exists. The claim lasts for a
 * day and holds how the order ended. The open mark lasts a little longer than the order may take,
 * and is removed with its result: while it is there, a repeat is told "in progress"; once it is
 * gone without a result, the claiming router died or lost the answer, and a repeat is told
 * "unknown". The platform's own leases thus tell time, and no two clocks are compared.
 */
import * as Crypto from 'node:crypto';

import type { Clock, KeyValueConflict, OrderDone } from '@sequoiarill/types';

import type { LeaseBuckets } from './claimLeases';
import * as Records from './claimRecords';
import type { ClaimIdentity, ClaimPlace, ClaimRecord } from './claimRecords';
import type { ClaimWriter } from './claimWriter';
import type { TransactionBatcher } from './transactionBatches';

/** This router holds the claim and may send the order once. */
export interface HeldClaim {
  readonly kind: 'held';
  /** Whether the claim is surely still held; look right before sending. */
  readonly isFresh: () => boolean;
  /** Keeps the answer for repeats; does not wait until it is kept. */
  readonly recordDone: (done: OrderDone) => void;
  /** Keeps that the outcome is unknown. */
  readonly recordUnknown: () => void;
  /** Gives up the claim of an order that was not sent, so that a repeat may run. */
  readonly release: () => Promise<void>;
}

/** The order ended before; this is its answer. */
export interface ClaimRepeated {
  readonly kind: 'repeated';
  readonly done: OrderDone;
}

export interface ClaimRefused {
  /**
   * `unknown`: it was sent before, and how it ended cannot be told. `away`: the platform took no
   * claim; nothing was sent.
   */
  readonly kind: 'keyReused' | 'inProgress' | 'unknown' | 'away';
}

export type ClaimResult = HeldClaim | ClaimRepeated | ClaimRefused;

export interface ClaimBook {
  /** `maxSeconds`: how long the order may take once it is sent. */
  readonly reserveOrder: (identity: ClaimIdentity, maxSeconds: number) => Promise<ClaimResult>;
}

export interface ClaimBookOptions {
  readonly batcher: TransactionBatcher;
  readonly leases: LeaseBuckets;
  readonly writer: ClaimWriter;
  readonly clock: Clock;
  readonly router: string;
  readonly prefix: string;
  readonly claimSeconds: number;
  readonly createClaimId?: () => string;
}

/** A claim as it was written. */
interface WrittenClaim {
  readonly record: ClaimRecord;
  readonly place: ClaimPlace;
  readonly revision: number;
}

/** A lost answer is asked for again so often; an outage ends sooner, since it had no effect. */
const MAX_WRITES = 3;
/** Room for the round trips around the sending, on top of the time the order may take. */
const MARGIN_SECONDS = 30;

export function createClaimBook(options: ClaimBookOptions): ClaimBook {
  const { batcher, leases, writer, clock } = options;
  const createClaimId = options.createClaimId ?? (() => Crypto.randomUUID());

  async function writeRecord(
    place: ClaimPlace,
    record: ClaimRecord,
    maxSeconds: number,
    takenOverRevision: number,
  ): Promise<Awaited<ReturnType<TransactionBatcher['writeItem']>>> {
    const claimLease = await leases.getLease(options.claimSeconds);
    const openLease = await leases.getLease(computeLeaseSeconds(maxSeconds + MARGIN_SECONDS));
    if (claimLease === undefined || openLease === undefined) {
      return { kind: 'unavailable', message: 'no lease' };
    }
    const value = Records.encodeRecord(record);
    return batcher.writeItem(
      {
        comparisons: [
          { key: place.claimKey, revision: takenOverRevision },
          // A claim that is taken over may still have its open mark.
          ...(takenOverRevision === 0 ? [{ key: place.openKey, revision: 0 }] : []),
        ],
        writes: [
          { key: place.claimKey, value, leaseId: claimLease },
          { key: place.openKey, value: record.claimId, leaseId: openLease },
        ],
      },
      true,
    );
  }

  /**
   * Writes a claim until its fate is known. Guards against a lost answer: the write may have taken
   * effect, so sending on a guess could run the order twice, and giving up at once would leave a
   * claim that nobody runs. Writing the same claim again shows it: its own claim id in the conflict
   * means that the first write took effect.
   */
  async function writeClaim(
    place: ClaimPlace,
    record: ClaimRecord,
    maxSeconds: number,
    takenOverRevision = 0,
  ): Promise<ClaimResult> {
    const startedMs = clock.getNowMs();
    let mayBeWritten = false;
    for (let write = 0; write < MAX_WRITES; write += 1) {
      const result = await writeRecord(place, record, maxSeconds, takenOverRevision);
      if (result.kind === 'written') {
        return createHeldClaim({ record, place, revision: result.revision }, startedMs);
      }
      if (result.kind === 'conflict') {
        const isDisplaced = takenOverRevision !== 0 && !hasKey(result, place.claimKey);
        // The claim to be taken over was removed meanwhile.
        if (isDisplaced) return writeClaim(place, record, maxSeconds);
        return decideConflict(place, record, maxSeconds, result, startedMs);
      }
      if (result.kind === 'unknown') mayBeWritten = true;
      else {
        leases.removeLeases();
        if (!mayBeWritten) break;
      }
    }
    if (mayBeWritten) writer.removeUnsent(place, record.claimId);
    return { kind: 'away' };
  }

  async function decideConflict(
    place: ClaimPlace,
    record: ClaimRecord,
    maxSeconds: number,
    conflict: KeyValueConflict,
    startedMs: number,
  ): Promise<ClaimResult> {
    const entry = conflict.current.find(({ key }) => key === place.claimKey);
    const isOpen = hasKey(conflict, place.openKey);
    // The open mark alone: its claim was just released or is just ending.
    if (entry === undefined) return { kind: isOpen ? 'inProgress' : 'away' };
    const known = Records.decodeRecord(entry.value);
    if (known?.claimId === record.claimId) {
      return createHeldClaim({ record, place, revision: entry.revision }, startedMs);
    }
    if (known === undefined) return { kind: 'unknown' };
    if (known.requestHash !== record.requestHash) return { kind: 'keyReused' };
    if (known.state === 'sent' && writer.isUnsent(known.claimId)) {
      return writeClaim(place, record, maxSeconds, entry.revision);
    }
    return decideRepeat(known, isOpen);
  }

  function createHeldClaim(written: WrittenClaim, startedMs: number): HeldClaim {
    const { record, place, revision } = written;
    const maxAgeMs = (options.claimSeconds * MS_PER_SECOND) / 2;
    return {
      kind: 'held',
      // A router that was paused after the claim may wake when the claim's lease is over and
      // another router runs the order. Half the lease is far more than any claim takes.
      isFresh: () => clock.getNowMs() - startedMs < maxAgeMs,
      recordDone(done) {
        const answer = Records.encodeAnswer(done);
        const ended: ClaimRecord =
          answer === undefined
            ? { ...record, state: 'done' }
            : { ...record, state: 'done', answer };
        writer.writeResult(place, ended, revision);
      },
      recordUnknown: () => writer.writeResult(place, { ...record, state: 'unknown' }, revision),
      release: () => writer.releaseClaim(place, record.claimId, revision),
    };
  }

  return {
    async reserveOrder(identity, maxSeconds) {
      const hash = Records.hashClaimKey(identity);
      const place: ClaimPlace = {
        claimKey: `${options.prefix}${hash}`,
        openKey: `${options.prefix}open/${hash}`,
      };
      // A result that waits for the platform answers repeats here already.
      const pending = writer.findPending(place);
      if (pending !== undefined) {
        return pending.requestHash === identity.requestHash
          ? decideRepeat(pending, false)
          : { kind: 'keyReused' };
      }
      const record: ClaimRecord = {
        claimId: createClaimId(),
        requestHash: identity.requestHash,
        requestId: identity.requestId,
        router: options.router,
        state: 'sent',
      };
      return writeClaim(place, record, maxSeconds);
    },
  };
}

const MS_PER_SECOND = 1_000;

/** What a repeat of an order that was claimed before is told. */
function decideRepeat(known: ClaimRecord, isOpen: boolean): ClaimResult {
  if (known.state === 'done' && known.answer !== undefined) {
    return { kind: 'repeated', done: Records.decodeAnswer(known.answer) };
  }
  if (known.state === 'sent' && isOpen) return { kind: 'inProgress' };
  return { kind: 'unknown' };
}

function hasKey(conflict: KeyValueConflict, wanted: string): boolean {
  return conflict.current.some(({ key }) => key === wanted);
}

/** Few lengths of leases, so that few leases serve all services. */
function computeLeaseSeconds(seconds: number): number {
  return 2 ** Math.ceil(Math.log2(seconds));
}
