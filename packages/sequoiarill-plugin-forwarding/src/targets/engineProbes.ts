/** Probes engines for their load, which is also liveness evidence. */
import * as Kernel from '@sequoiarill/kernel';
import type {
  Clock,
  Directory,
  EngineReport,
  ForwardingTarget,
  ForwardingWire,
  CachedPromptParts,
} from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { EngineCaller } from './engineCalls';
import type { TargetNotices } from './targetNotices';
import type { TargetRegistry } from './targetRegistry';

export interface EngineProbes {
  /**
   * Undefined when there is no response in time, or the engine has asked for rest. Concurrent reads of one
   * engine share a call.
   */
  readonly readReport: (
    target: ForwardingTarget,
    limitMs: number,
  ) => Promise<EngineReport | undefined>;
  /** Prompt parts in the engine's KV cache; undefined when there is no response in time. */
  readonly readCachedParts: (
    target: ForwardingTarget,
    limitMs: number,
  ) => Promise<CachedPromptParts | undefined>;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
}

export interface EngineProbesOptions {
  readonly wire: ForwardingWire;
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>;
  readonly registry: TargetRegistry;
  readonly callEngine: EngineCaller;
  readonly directory: Pick<Directory, 'getConfiguration' | 'isUpToDate' | 'recordReplacement'>;
  readonly notices: Pick<TargetNotices, 'recordLeaving' | 'isResting'>;
}

/** An engine without a response by then is suspected to be down; most respond within 5 ms. */
const PROBE_TIMEOUT_MS = 250;
/** A report of this age is as good as a new one: engines update their counts every 100 ms. */
const REPORT_TTL_MS = 40;
/**
 * While the store is unreachable, an identity is verified again after this; a restart takes longer.
 */
const IDENTITY_TTL_MS = 1_000;
const OK = 200;

interface RecentReport {
  readonly target: ForwardingTarget;
  readonly report: EngineReport;
  readonly atMs: number;
}

export function createEngineProbes(options: EngineProbesOptions): EngineProbes {
  const { wire, clock, registry, callEngine, directory, notices } = options;
  const inProgress = new Map<string, Promise<EngineReport | undefined>>();
  const recentReports = new Map<string, RecentReport>();

  function readPath(target: ForwardingTarget, path: string, limitMs = PROBE_TIMEOUT_MS) {
    return callEngine(target, { method: 'GET', path, limitMs });
  }

  /** A refused or broken connection is a failure of the engine; the lack of an answer is none yet. */
  async function readReportResponse(target: ForwardingTarget) {
    let isBroken = false;
    const response = await callEngine(target, {
      method: 'GET',
      path: wire.reportPath,
      limitMs: PROBE_TIMEOUT_MS,
      recordBroken() {
        isBroken = true;
      },
    });
    if (response !== undefined || notices.isResting(target)) return response;
    if (isBroken) registry.recordLoss(target);
    else registry.recordSilence(target);
    return undefined;
  }

  function isIdentityUncertain(target: ForwardingTarget): boolean {
    if (registry.isUnverified(target)) return true;
    if (directory.isUpToDate()) return false;
    const verifiedAtMs = registry.getVerifiedAtMs(target);
    return verifiedAtMs === undefined || clock.getNowMs() - verifiedAtMs > IDENTITY_TTL_MS;
  }

  async function readIdentity(target: ForwardingTarget): Promise<string | undefined> {
    const service = directory.getConfiguration()?.services.get(target.service);
    const response = await readPath(target, service?.healthPath ?? '/');
    if (response === undefined) return undefined;
    return Checks.getHeader(response.head, wire.headers.targetId);
  }

  /**
   * Id of the target that responds at the address; undefined when none does.
   *
   * Failure: an engine crashes and restarts as another incarnation, which the directory has not
   * recorded yet. The new incarnation returns reports as before but refuses requests addressed to
   * the old one. Each refused request costs a retry, and after the crash of a zone these use up the
   * retry budget.
   */
  async function findCurrentId(target: ForwardingTarget): Promise<string | undefined> {
    if (!isIdentityUncertain(target)) return target.id;
    const id = await readIdentity(target);
    if (id === target.id) registry.recordVerified(target);
    else if (id !== undefined) registry.recordReplacement(target);
    return id;
  }

  /**
   * An address can be reassigned to another service. So the new incarnation counts as a target of
   * the same service only if it reports load like an engine and a single service has engines.
   */
  function reportReplacement(target: ForwardingTarget, id: string): void {
    if (directory.isUpToDate()) return;
    const services = [...(directory.getConfiguration()?.services.values() ?? [])];
    if (services.filter(({ engine }) => engine !== undefined).length !== 1) return;
    directory.recordReplacement(target, id);
  }

  /**
   * Failure: an engine restarts under its id with another version of its software, which the directory has not
   * recorded yet. It takes requests for that id, and would continue streams of the other version.
   */
  function isOfIncarnation(
    { startedAtUnixMs, isVersionPresumed }: ForwardingTarget,
    report: EngineReport | undefined,
  ): boolean {
    const reportedAtUnixMs = report?.startedAtUnixMs;
    if (reportedAtUnixMs === undefined || startedAtUnixMs === 0) return true;
    return isVersionPresumed === true || reportedAtUnixMs === startedAtUnixMs;
  }

  async function readVerifiedReport(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const [response, id] = await Promise.all([readReportResponse(target), findCurrentId(target)]);
    const report = response?.head.status === OK ? wire.decodeReport(response.text) : undefined;
    if (id === target.id) return isOfIncarnation(target, report) ? report : undefined;
    const isUsable = report !== undefined && !report.isLeaving;
    if (isUsable && id !== undefined) reportReplacement(target, id);
    return undefined;
  }

  async function runProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const report = await readVerifiedReport(target);
    inProgress.delete(target.id);
    if (report === undefined) {
      recentReports.delete(target.id);
      return undefined;
    }
    registry.recordReport(target, report);
    if (report.isLeaving) notices.recordLeaving(target, 'report');
    registry.recordAlive(target);
    recentReports.set(target.id, { target, report, atMs: clock.getNowMs() });
    return report;
  }

  function startProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const pending = inProgress.get(target.id);
    if (pending !== undefined) return pending;
    const probe = runProbe(target);
    inProgress.set(target.id, probe);
    return probe;
  }

  return {
    async readReport(target, limitMs) {
      if (notices.isResting(target)) return undefined;
      const last = recentReports.get(target.id);
      if (last !== undefined && clock.getNowMs() - last.atMs <= REPORT_TTL_MS) return last.report;
      let stopTimer: (() => void) | undefined;
      const timeout = new Promise<undefined>((resolve) => {
        const resolveTimeout = () => resolve(undefined);
        stopTimer = Kernel.startRunningTimer(clock.getRunningMs, limitMs, resolveTimeout);
      });
      const report = await Promise.race([startProbe(target), timeout]);
      stopTimer?.();
      return report;
    },
    async readCachedParts(target, limitMs) {
      const response = await readPath(target, wire.cachedPartsPath, limitMs);
      return response?.head.status === OK ? wire.decodeCachedParts(response.text) : undefined;
    },
    removeMissing(isCurrent) {
      for (const [id, { target }] of recentReports) {
        if (!isCurrent(target)) recentReports.delete(id);
      }
    },
  };
}
