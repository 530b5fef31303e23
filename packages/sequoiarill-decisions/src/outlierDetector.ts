/**
 * Tells slow and failing targets from healthy ones by comparing them with peers of the same model.
 *
 * Load patterns: one slow target; one that fails fast and so looks idle. Without detection the first
 * holds every stream that was sent to it, and the second takes most new prompts, because a target
 * that fails each within a millisecond never has any in progress. Comparison with the peers' median
 * keeps a general slowdown from ejecting anybody; a cap on the ejected share keeps a fault of this
 * router's own (its network, say) from ejecting everybody. An ejected target is let back in after a
 * time that doubles with each ejection in a row, with a small share that grows: a target that lost
 * its caches or is still ill gets little to spoil.
 */
import type * as Types from './outlierTypes';
import * as PeerMedians from './peerMedians';
import * as Records from './targetRecord';
import type { EjectionCause, TargetRecord } from './targetRecord';

/** Peers may be this much slower than the median before they are outliers, and by at least this. */
const FIRST_TOKEN_FACTOR = 3;
const FIRST_TOKEN_MARGIN_MS = 300;
const GAP_FACTOR = 2.5;
const GAP_MARGIN_MS = 30;
/**
 * Failures in a row, or a share of the last seconds' attempts, that eject. One is enough while a
 * target is being let back in: an idle, dead target is the best looking one for every new prompt.
 */
const MAX_CONSECUTIVE_FAILURES = 3;
const MAX_FAILURE_SHARE = 0.4;
const MIN_ATTEMPTS = 5;
/**
 * Shares that may be ejected. A slow target still gives something, so slowness ejects few, and nobody
 * while others have failed: survivors that queue after a loss look slow and are all there is.
 */
const DEFAULT_MAX_SLOW_SHARE = 0.2;
const DEFAULT_MAX_FAILED_SHARE = 0.5;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
const WARM_UP_MS = 10_000;
/** Share at the start of a warm-up: some prompts a second, enough to be judged by. */
const FIRST_WARM_SHARE = 0.1;
/** Time after a warm-up without an ejection that forgets earlier ones. */
const FORGIVEN_AFTER_MS = 60_000;
/** One for each model of a router. */
export function createOutlierDetector(
  options: Types.OutlierDetectorOptions = {},
): Types.OutlierDetector {
  const maxSlowShare = options.maxSlowShare ?? DEFAULT_MAX_SLOW_SHARE;
  const maxFailedShare = options.maxFailedShare ?? DEFAULT_MAX_FAILED_SHARE;
  const records = new Map<string, TargetRecord>();
  const getMedians = PeerMedians.createPeerMedians(records);

  function getRecord(target: string, nowMs: number): TargetRecord {
    const known = records.get(target);
    if (known !== undefined) return known;
    const created = Records.createTargetRecord(nowMs);
    records.set(target, created);
    return created;
  }

  function hasRoomToEject(cause: EjectionCause, nowMs: number): boolean {
    let counted = 1;
    for (const record of records.values()) {
      const isCounted = cause !== 'failures' || record.ejectionCause === 'failures';
      if (record.ejectedUntilMs > nowMs && isCounted) counted += 1;
    }
    const maxShare = cause === 'failures' ? maxFailedShare : maxSlowShare;
    return counted <= Math.max(1, Math.floor(records.size * maxShare));
  }

  function applyEjection(record: TargetRecord, cause: EjectionCause, nowMs: number): void {
    const isOut = record.ejectedUntilMs > nowMs && record.ejectionCause === cause;
    if (isOut || !hasRoomToEject(cause, nowMs)) return;
    const isForgiven = nowMs - record.ejectedUntilMs > WARM_UP_MS + FORGIVEN_AFTER_MS;
    const earlier = isForgiven ? 0 : record.ejections;
    const lastsMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** earlier);
    Object.assign(record, Records.createTargetRecord(nowMs), {
      ejections: earlier + 1,
      ejectedUntilMs: nowMs + lastsMs,
      ejectionCause: cause,
      warmingSinceMs: nowMs + lastsMs,
    });
  }

  function recordFirstToken(target: string, ms: number, nowMs: number): void {
    const record = getRecord(target, nowMs);
    record.firstTokenMs = Records.computeSmoothed(
      record.firstTokenMs,
      record.firstTokenSamples,
      ms,
    );
    record.firstTokenSamples += 1;
    const median = getMedians(nowMs).firstTokenMs;
    if (median === undefined || record.firstTokenSamples < PeerMedians.MIN_FIRST_TOKENS) return;
    const boundMs = Math.max(median * FIRST_TOKEN_FACTOR, median + FIRST_TOKEN_MARGIN_MS);
    if (record.firstTokenMs > boundMs) applyEjection(record, 'firstToken', nowMs);
  }

  function recordGap(target: string, ms: number, nowMs: number): void {
    const record = getRecord(target, nowMs);
    record.gapMs = Records.computeSmoothed(record.gapMs, record.gapSamples, ms);
    record.gapSamples += 1;
    const median = getMedians(nowMs).gapMs;
    if (median === undefined || record.gapSamples < PeerMedians.MIN_GAPS) return;
    const boundMs = Math.max(median * GAP_FACTOR, median + GAP_MARGIN_MS);
    if (record.gapMs > boundMs) applyEjection(record, 'gap', nowMs);
  }

  function updateCounts(record: TargetRecord, nowMs: number): TargetRecord {
    const decay = Records.computeDecay(record.countedAtMs, nowMs);
    return Object.assign(record, {
      successes: record.successes * decay,
      failures: record.failures * decay,
      countedAtMs: nowMs,
    });
  }

  function recordFailure(target: string, nowMs: number): void {
    const record = updateCounts(getRecord(target, nowMs), nowMs);
    record.failures += 1;
    record.consecutiveFailures += 1;
    const attempts = record.failures + record.successes;
    const isProbed = record.ejections > 0 && getWarmShare(target, nowMs) < 1;
    const isFailing =
      isProbed ||
      record.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES ||
      (attempts >= MIN_ATTEMPTS && record.failures / attempts >= MAX_FAILURE_SHARE);
    if (isFailing) applyEjection(record, 'failures', nowMs);
  }

  function recordSuccess(target: string, nowMs: number): void {
    const record = updateCounts(getRecord(target, nowMs), nowMs);
    record.successes += 1;
    record.consecutiveFailures = 0;
  }

  function getState(target: string, nowMs: number): Types.OutlierState {
    const record = records.get(target);
    if (record === undefined) return 'healthy';
    if (record.ejectedUntilMs > nowMs) {
      return record.ejectionCause === 'failures' ? 'dead' : 'slow';
    }
    return getWarmShare(target, nowMs) < 1 ? 'new' : 'healthy';
  }

  function getWarmShare(target: string, nowMs: number): number {
    const since = records.get(target)?.warmingSinceMs;
    if (since === undefined) return 1;
    const progress = Math.max(0, nowMs - since) / WARM_UP_MS;
    return Math.min(1, FIRST_WARM_SHARE + (1 - FIRST_WARM_SHARE) * progress);
  }

  function addTarget(target: string, nowMs: number): void {
    records.set(target, { ...Records.createTargetRecord(nowMs), warmingSinceMs: nowMs });
  }

  return {
    recordFirstToken,
    recordGap,
    recordFailure,
    recordSuccess,
    getState,
    getWarmShare,
    addTarget,
    removeTarget: (target) => {
      records.delete(target);
    },
    listEjected: (nowMs) =>
      [...records].filter(([, record]) => record.ejectedUntilMs > nowMs).map(([name]) => name),
  };
}
