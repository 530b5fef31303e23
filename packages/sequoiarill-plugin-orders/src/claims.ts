/**
 * Runs an order at most once across all routers: an order that must not run twice is claimed in the
 * platform's key-value service before it is sent, under its organisation, service and
 * `Idempotency-Key`.
 *
 * Two keys are written in one transaction, on condition that neither exists. The claim is stored
 * for a day by default and holds the outcome of the order. The open marker is stored for a little
 * longer than the order may take and is removed when the result is written. While the marker
 * exists, a repeated order gets "in progress". If it expires without a result, the claiming router
 * crashed or lost the answer, and a repeated order gets "unknown". Expiry is decided by the
 * platform's leases alone, so the clocks of two machines are never compared.
 */
import * as Crypto from 'node:crypto';

import type { Clock, KeyValueConflict, OrderDone } from '@sequoiarill/types';

import type { LeaseCache } from './claimLeases';
import * as Records from './claimRecords';
import type { ClaimIdentity, ClaimKeys, ClaimRecord } from './claimRecords';
import type { ClaimWriter } from './claimWriter';
import type { TransactionBatcher } from './transactionBatches';

/** The claim belongs to this router, which may send the order once. */
export interface HeldClaim {
  readonly kind: 'held';
  /** Whether the claim is certainly still valid; to be checked right before sending. */
  readonly isStillHeld: () => boolean;
  /** Stores the answer for repeated orders, without waiting for the write. */
  readonly recordDone: (done: OrderDone) => void;
  /** Stores that the outcome is unknown, without waiting for the write. */
  readonly recordUnknown: () => void;
  /** Removes the claim of an order that was not sent, so that a repeated order can run. */
  readonly release: () => Promise<void>;
}

/** The order completed earlier, with this answer. */
export interface ClaimRepeated {
  readonly kind: 'repeated';
  readonly done: OrderDone;
}

export interface ClaimRefused {
  /**
   * `unknown`: the order was sent earlier and its outcome is not known. `away`: no claim could be
   * written to the platform, and nothing was sent.
   */
  readonly kind: 'keyReused' | 'inProgress' | 'unknown' | 'away';
}

export type ClaimResult = HeldClaim | ClaimRepeated | ClaimRefused;

export interface ClaimRegistry {
  /** `maxSeconds`: time limit of the order once it is sent. */
  readonly reserveOrder: (identity: ClaimIdentity, maxSeconds: number) => Promise<ClaimResult>;
}

export interface ClaimRegistryOptions {
  readonly batcher: TransactionBatcher;
  readonly leases: LeaseCache;
  readonly writer: ClaimWriter;
  readonly clock: Clock;
  readonly router: string;
  readonly prefix: string;
  readonly claimSeconds: number;
  readonly createClaimId?: () => string;
}

/** A claim and the revision at which it was written. */
interface WrittenClaim {
  readonly record: ClaimRecord;
  readonly claimKeys: ClaimKeys;
  readonly revision: number;
}

/**
 * Maximum number of writes of a claim whose responses are lost. If the platform is unavailable, the
 * first write is also the last one, since it certainly had no effect.
 */
const MAX_CLAIM_WRITES = 3;
/** Time for the calls to the platform before and after the order, in addition to its time limit. */
const ROUND_TRIP_MARGIN_SECONDS = 30;

export function createClaimRegistry(options: ClaimRegistryOptions): ClaimRegistry {
  const { batcher, leases, writer, clock } = options;
  const createClaimId = options.createClaimId ?? (() => Crypto.randomUUID());

  async function writeRecord(
    claimKeys: ClaimKeys,
    record: ClaimRecord,
    maxSeconds: number,
    takenOverRevision: number,
  ): Promise<Awaited<ReturnType<TransactionBatcher['writeTransaction']>>> {
    const claimLeaseId = await leases.getLeaseId(options.claimSeconds);
    const openMarkerLeaseId = await leases.getLeaseId(
      computeLeaseSeconds(maxSeconds + ROUND_TRIP_MARGIN_SECONDS),
    );
    if (claimLeaseId === undefined || openMarkerLeaseId === undefined) {
      return { kind: 'unavailable', message: 'no lease' };
    }
    const value = Records.encodeRecord(record);
    return batcher.writeTransaction(
      {
        comparisons: [
          { key: claimKeys.claimKey, revision: takenOverRevision },
          // A claim that is taken over may still have its open marker.
          ...(takenOverRevision === 0 ? [{ key: claimKeys.openMarkerKey, revision: 0 }] : []),
        ],
        writes: [
          { key: claimKeys.claimKey, value, leaseId: claimLeaseId },
          { key: claimKeys.openMarkerKey, value: record.claimId, leaseId: openMarkerLeaseId },
        ],
      },
      true,
    );
  }

  /**
   * Writes a claim and retries while the response is lost. A write without a response may have
   * taken effect: sending the order anyway could run it twice, and giving up at once would leave a
   * claim whose order never runs. Writing the same claim again resolves this, since a conflict with
   * its own claim id means that the first write took effect.
   */
  async function writeClaim(
    claimKeys: ClaimKeys,
    record: ClaimRecord,
    maxSeconds: number,
    takenOverRevision = 0,
  ): Promise<ClaimResult> {
    const startedMs = clock.getNowMs();
    let mayBeWritten = false;
    for (let write = 0; write < MAX_CLAIM_WRITES; write += 1) {
      const result = await writeRecord(claimKeys, record, maxSeconds, takenOverRevision);
      if (result.kind === 'written') {
        return createHeldClaim({ record, claimKeys, revision: result.revision }, startedMs);
      }
      if (result.kind === 'conflict') {
        const isRemoved = takenOverRevision !== 0 && !hasKey(result, claimKeys.claimKey);
        // The claim to be taken over has been removed in the meantime.
        if (isRemoved) return writeClaim(claimKeys, record, maxSeconds);
        return decideConflict(claimKeys, record, maxSeconds, result, startedMs);
      }
      if (result.kind === 'unknown') mayBeWritten = true;
      else {
        leases.removeLeases();
        if (!mayBeWritten) break;
      }
    }
    if (mayBeWritten) writer.removeUnsentClaim(claimKeys, record.claimId);
    return { kind: 'away' };
  }

  async function decideConflict(
    claimKeys: ClaimKeys,
    record: ClaimRecord,
    maxSeconds: number,
    conflict: KeyValueConflict,
    startedMs: number,
  ): Promise<ClaimResult> {
    const entry = conflict.current.find(({ key }) => key === claimKeys.claimKey);
    const hasOpenMarker = hasKey(conflict, claimKeys.openMarkerKey);
    // An open marker without a claim: its claim was just released or is just expiring.
    if (entry === undefined) return { kind: hasOpenMarker ? 'inProgress' : 'away' };
    const existing = Records.decodeRecord(entry.value);
    if (existing?.claimId === record.claimId) {
      return createHeldClaim({ record, claimKeys, revision: entry.revision }, startedMs);
    }
    if (existing === undefined) return { kind: 'unknown' };
    if (existing.requestHash !== record.requestHash) return { kind: 'keyReused' };
    if (existing.state === 'sent' && writer.isUnsentClaim(existing.claimId)) {
      return writeClaim(claimKeys, record, maxSeconds, entry.revision);
    }
    return decideRepeatedOrder(existing, hasOpenMarker);
  }

  function createHeldClaim(written: WrittenClaim, startedMs: number): HeldClaim {
    const { record, claimKeys, revision } = written;
    const maxAgeMs = (options.claimSeconds * MS_PER_SECOND) / 2;
    return {
      kind: 'held',
      // A router that is paused after claiming may resume when the claim's lease has expired and
      // another router runs the order. Half of the lease is far longer than any claim takes.
      isStillHeld: () => clock.getNowMs() - startedMs < maxAgeMs,
      recordDone(done) {
        const answer = Records.encodeAnswer(done);
        const endedRecord: ClaimRecord =
          answer === undefined
            ? { ...record, state: 'done' }
            : { ...record, state: 'done', answer };
        writer.writeResult(claimKeys, endedRecord, revision);
      },
      recordUnknown: () => writer.writeResult(claimKeys, { ...record, state: 'unknown' }, revision),
      release: () => writer.releaseClaim(claimKeys, record.claimId, revision),
    };
  }

  return {
    async reserveOrder(identity, maxSeconds) {
      const hash = Records.hashClaimKey(identity);
      const claimKeys: ClaimKeys = {
        claimKey: `${options.prefix}${hash}`,
        openMarkerKey: `${options.prefix}open/${hash}`,
      };
      // A result that is not written yet already answers repeated orders at this router.
      const pending = writer.findPendingResult(claimKeys);
      if (pending !== undefined) {
        return pending.requestHash === identity.requestHash
          ? decideRepeatedOrder(pending, false)
          : { kind: 'keyReused' };
      }
      const record: ClaimRecord = {
        claimId: createClaimId(),
        requestHash: identity.requestHash,
        requestId: identity.requestId,
        router: options.router,
        state: 'sent',
      };
      return writeClaim(claimKeys, record, maxSeconds);
    },
  };
}

const MS_PER_SECOND = 1_000;

/** The result for a repeated order, from the existing claim. */
function decideRepeatedOrder(existing: ClaimRecord, hasOpenMarker: boolean): ClaimResult {
  if (existing.state === 'done' && existing.answer !== undefined) {
    return { kind: 'repeated', done: Records.decodeAnswer(existing.answer) };
  }
  if (existing.state === 'sent' && hasOpenMarker) return { kind: 'inProgress' };
  return { kind: 'unknown' };
}

function hasKey(conflict: KeyValueConflict, expectedKey: string): boolean {
  return conflict.current.some(({ key }) => key === expectedKey);
}

/** Rounds up to a power of two, so that all services share a small number of leases. */
function computeLeaseSeconds(seconds: number): number {
  return 2 ** Math.ceil(Math.log2(seconds));
}
