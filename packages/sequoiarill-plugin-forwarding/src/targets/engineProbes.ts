/** Asks engines for their load, which also tells that they live. */
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
import type { TargetRegistry } from './targetRegistry';

export interface EngineProbes {
  /** Undefined when the engine does not answer in time. Several askers share one call. */
  readonly readReport: (
    target: ForwardingTarget,
    limitMs: number,
  ) => Promise<EngineReport | undefined>;
  /** Parts of prompts that the engine keeps; undefined when it does not tell in time. */
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
}

/** An engine that has not answered by then counts as lost, milliseconds; most answer within five. */
const PROBE_LIMIT_MS = 250;
/** A report this young is as good as a new one, milliseconds: engines count every hundred. */
const FRESH_MS = 40;
/** While the store is away an identity is asked for anew after this, milliseconds: a restart takes longer. */
const PROOF_LIFE_MS = 1_000;
const OK = 200;

interface Fresh {
  readonly target: ForwardingTarget;
  readonly report: EngineReport;
  readonly atMs: number;
}

export function createEngineProbes(options: EngineProbesOptions): EngineProbes {
  const { wire, clock, registry, callEngine, directory } = options;
  const inProgress = new Map<string, Promise<EngineReport | undefined>>();
  const freshByTarget = new Map<string, Fresh>();

  function readPath(target: ForwardingTarget, path: string, limitMs = PROBE_LIMIT_MS) {
    return callEngine(target, { method: 'GET', path, limitMs });
  }

  function isDoubtful(target: ForwardingTarget): boolean {
    if (registry.isUnverified(target)) return true;
    if (directory.isUpToDate()) return false;
    const provedAtMs = registry.getVerifiedAtMs(target);
    return provedAtMs === undefined || clock.getNowMs() - provedAtMs > PROOF_LIFE_MS;
  }

  async function readIdentity(target: ForwardingTarget): Promise<string | undefined> {
    const service = directory.getConfiguration()?.services.get(target.service);
    const answer = await readPath(target, service?.healthPath ?? '/');
    if (answer === undefined) return undefined;
    return Checks.getHeader(answer.head, wire.headers.targetId);
  }

  /**
   * Who answers at the target's address; undefined when nobody does.
   *
   * Failure: an engine crashes and starts again as another life, and the directory does not know yet.
   * It answers reports like the one before, and refuses what is meant for that one: each such request
   * is a repeat, and after the crash of a zone they use up what repeats there are.
   */
  async function findLife(target: ForwardingTarget): Promise<string | undefined> {
    if (!isDoubtful(target)) return target.id;
    const id = await readIdentity(target);
    if (id === target.id) registry.recordVerified(target);
    else if (id !== undefined) registry.recordReplacement(target);
    return id;
  }

  /**
   * An address can be given to another service, so a life that is met there counts as the same service
   * only if it reports like an engine and one service alone has engines.
   */
  function reportReplacement(target: ForwardingTarget, id: string): void {
    if (directory.isUpToDate()) return;
    const services = [...(directory.getConfiguration()?.services.values() ?? [])];
    if (services.filter(({ engine }) => engine !== undefined).length !== 1) return;
    directory.recordReplacement(target, id);
  }

  async function readOnce(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const [answer, id] = await Promise.all([readPath(target, wire.reportPath), findLife(target)]);
    if (answer === undefined) registry.recordLoss(target);
    const report = answer?.head.status === OK ? wire.decodeReport(answer.text) : undefined;
    if (id === target.id) return report;
    const isUsable = report !== undefined && !report.isLeaving;
    if (isUsable && id !== undefined) reportReplacement(target, id);
    return undefined;
  }

  async function runProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const report = await readOnce(target);
    inProgress.delete(target.id);
    if (report === undefined) {
      freshByTarget.delete(target.id);
      return undefined;
    }
    registry.recordReport(target, report);
    registry.recordAlive(target);
    freshByTarget.set(target.id, { target, report, atMs: clock.getNowMs() });
    return report;
  }

  function startProbe(target: ForwardingTarget): Promise<EngineReport | undefined> {
    const known = inProgress.get(target.id);
    if (known !== undefined) return known;
    const started = runProbe(target);
    inProgress.set(target.id, started);
    return started;
  }

  return {
    async readReport(target, limitMs) {
      const fresh = freshByTarget.get(target.id);
      if (fresh !== undefined && clock.getNowMs() - fresh.atMs <= FRESH_MS) return fresh.report;
      let stopTimer: (() => void) | undefined;
      const late = new Promise<undefined>((resolve) => {
        const giveUp = () => resolve(undefined);
        stopTimer = Kernel.startRunningTimer(clock.getRunningMs, limitMs, giveUp);
      });
      const report = await Promise.race([startProbe(target), late]);
      stopTimer?.();
      return report;
    },
    async readCachedParts(target, limitMs) {
      const answer = await readPath(target, wire.cachedPartsPath, limitMs);
      return answer?.head.status === OK ? wire.decodeCachedParts(answer.text) : undefined;
    },
    removeMissing(isCurrent) {
      for (const [id, { target }] of freshByTarget) {
        if (!isCurrent(target)) freshByTarget.delete(id);
      }
    },
  };
}
