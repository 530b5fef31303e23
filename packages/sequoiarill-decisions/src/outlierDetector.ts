/**
 * Outlier detection: finds slow and failing targets by comparing them with the other targets of the model.
 *
 * Load patterns: one target is slow, or one fails fast and therefore looks idle. Without detection the
 * slow target delays every stream that is sent to it, and the failing one attracts most new prompts,
 * because it fails each within a millisecond and never has any in progress. Comparing with the median of
 * the peers prevents ejections when all targets slow down together. A cap on the ejected share prevents a
 * fault of this router (of its network, for example) from ejecting all targets. An ejected target is
 * readmitted after a time that doubles with each consecutive ejection, with a small share of the load that
 * grows, so that a target that lost its caches or still fails affects few requests.
 */
import type * as Types from './outlierTypes';
import * as PeerMedians from './peerMedians';
import * as Records from './targetRecord';
import type { EjectionCause, TargetRecord } from './targetRecord';

/** A target is an outlier above both the median times the factor and the median plus the margin. */
const FIRST_TOKEN_FACTOR = 3;
const FIRST_TOKEN_MARGIN_MS = 300;
const GAP_FACTOR = 2.5;
const GAP_MARGIN_MS = 30;
/**
 * Consecutive failures, or the share of failed attempts in the last seconds, that eject a target. A single
 * failure is enough while a readmitted target warms up: a dead target is idle and would attract every new
 * prompt.
 */
const MAX_CONSECUTIVE_FAILURES = 3;
const MAX_FAILURE_SHARE = 0.4;
const MIN_ATTEMPTS = 5;
/**
 * Shares of the targets that may be ejected. A slow target still serves requests, so slowness ejects only
 * few, and none while others are ejected for failures: the remaining targets queue after a loss, look
 * slow, and are the only capacity left.
 */
const DEFAULT_MAX_SLOW_SHARE = 0.2;
const DEFAULT_MAX_FAILED_SHARE = 0.5;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
const WARM_UP_MS = 10_000;
/** Share of the load at the start of a warm-up: some prompts a second, enough to evaluate the target. */
const INITIAL_WARM_SHARE = 0.1;
/** Time after a warm-up without an ejection, after which the count of ejections is reset. */
const EJECTIONS_RESET_AFTER_MS = 60_000;

/** A router creates one detector for each model. */
export function createOutlierDetector(
  options: Types.OutlierDetectorOptions = {},
): Types.OutlierDetector {
  const maxSlowShare = options.maxSlowShare ?? DEFAULT_MAX_SLOW_SHARE;
  const maxFailedShare = options.maxFailedShare ?? DEFAULT_MAX_FAILED_SHARE;
  const records = new Map<string, TargetRecord>();
  const getMedians = PeerMedians.createPeerMedians(records);

  function getRecord(target: string, nowMs: number): TargetRecord {
    const existing = records.get(target);
    if (existing !== undefined) return existing;
    const record = Records.createTargetRecord(nowMs);
    records.set(target, record);
    return record;
  }

  function hasRoomToEject(cause: EjectionCause, nowMs: number): boolean {
    let ejectedCount = 1;
    for (const record of records.values()) {
      const isCounted = cause !== 'failures' || record.ejectionCause === 'failures';
      if (record.ejectedUntilMs > nowMs && isCounted) ejectedCount += 1;
    }
    const maxShare = cause === 'failures' ? maxFailedShare : maxSlowShare;
    return ejectedCount <= Math.max(1, Math.floor(records.size * maxShare));
  }

  function applyEjection(record: TargetRecord, cause: EjectionCause, nowMs: number): void {
    const isEjected = record.ejectedUntilMs > nowMs && record.ejectionCause === cause;
    if (isEjected || !hasRoomToEject(cause, nowMs)) return;
    const isReset = nowMs - record.ejectedUntilMs > WARM_UP_MS + EJECTIONS_RESET_AFTER_MS;
    const earlierEjections = isReset ? 0 : record.ejections;
    const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** earlierEjections);
    Object.assign(record, Records.createTargetRecord(nowMs), {
      ejections: earlierEjections + 1,
      ejectedUntilMs: nowMs + ejectionMs,
      ejectionCause: cause,
      warmingSinceMs: nowMs + ejectionMs,
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
    const isWarmingUp = record.ejections > 0 && getWarmShare(target, nowMs) < 1;
    const isFailing =
      isWarmingUp ||
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

  function removeFailures(nowMs: number): void {
    for (const [target, record] of records) {
      if (record.ejectionCause === 'failures') {
        records.set(target, Records.createTargetRecord(nowMs));
      } else Object.assign(record, { failures: 0, consecutiveFailures: 0 });
    }
  }

  function getWarmShare(target: string, nowMs: number): number {
    const since = records.get(target)?.warmingSinceMs;
    if (since === undefined) return 1;
    const progress = Math.max(0, nowMs - since) / WARM_UP_MS;
    return Math.min(1, INITIAL_WARM_SHARE + (1 - INITIAL_WARM_SHARE) * progress);
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
    removeFailures,
    removeTarget: (target) => {
      records.delete(target);
    },
    listEjected: (nowMs) =>
      [...records].filter(([, record]) => record.ejectedUntilMs > nowMs).map(([name]) => name),
  };
}
