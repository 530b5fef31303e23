/** What this router knows of its engines, and the decisions that follow from it. */
import type { Configuration, EngineTarget, ResumePreference } from '@sequoiarill/types';

import type { AttemptLimits } from './attempt';
import * as EngineRequests from './engineRequests';
import type { AttemptOrder, TargetDecision, TargetQuery } from './generation';

export interface TargetsOptions {
  readonly zone: string;
  readonly getConfiguration: () => Configuration;
  readonly getInFlight: (target: string) => number;
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
}

export interface Targets {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly getLimits: (
    target: string,
    preference: ResumePreference,
    order: AttemptOrder,
  ) => AttemptLimits;
  readonly recordGap: (target: string, gapMs: number, isFirst: boolean) => void;
  readonly recordFailure: (target: string) => void;
  readonly recordBusy: (target: string) => void;
  readonly recordRequest: () => void;
  readonly takeRetry: (purpose: TargetQuery['purpose']) => boolean;
  readonly dumpTargets: () => Readonly<Record<string, unknown>>;
}

/** An engine that failed is passed over for so long, unless no other is left. */
const PASS_OVER_MS = 2_000;
const LIMITS: Readonly<Record<ResumePreference, AttemptLimits>> = {
  resumeLatency: { firstTokenMs: 5_000, gapMs: 800 },
  resourceUse: { firstTokenMs: 15_000, gapMs: 2_500 },
};

export function createTargets(options: TargetsOptions): Targets {
  const failedAtMs = new Map<string, number>();

  function isPassedOver(target: EngineTarget): boolean {
    const failed = failedAtMs.get(target.name);
    return failed !== undefined && options.getNowMs() - failed < PASS_OVER_MS;
  }

  function listCandidates(query: TargetQuery): readonly EngineTarget[] {
    const all = [...options.getConfiguration().targets.values()];
    const engines = all.filter((target): target is EngineTarget => target.kind === 'engine');
    const serving = engines.filter(
      (target) =>
        target.vmState === 'live' &&
        !query.excluded.has(target.name) &&
        EngineRequests.findServedName(target, query.model) !== undefined,
    );
    const fresh = serving.filter((target) => !isPassedOver(target));
    return fresh.length > 0 ? fresh : serving;
  }

  function chooseTarget(query: TargetQuery): TargetDecision {
    const candidates = listCandidates(query);
    const loads = candidates.map((target) => ({
      target,
      load:
        options.getInFlight(target.name) / target.slots + (target.zone === options.zone ? 0 : 0.2),
      draw: options.nextRandom(),
    }));
    const [best] = loads.sort((a, b) => a.load - b.load || a.draw - b.draw);
    if (best === undefined) {
      const reason = `no live target serves model "${query.model.name}"`;
      return { kind: 'none', reason, retryAfterSeconds: 2 };
    }
    return { kind: 'target', target: best.target, reason: 'least in flight from this router' };
  }

  return {
    chooseTarget,
    getLimits: (_target, preference) => LIMITS[preference],
    recordGap: () => undefined,
    recordFailure: (target) => {
      failedAtMs.set(target, options.getNowMs());
    },
    recordBusy: (target) => {
      failedAtMs.set(target, options.getNowMs());
    },
    recordRequest: () => undefined,
    takeRetry: () => true,
    dumpTargets: () => ({ passedOver: [...failedAtMs.keys()] }),
  };
}
