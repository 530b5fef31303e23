/** What this router knows of its engines, and the decisions that follow from it. */
import * as Decisions from '@sequoiarill/decisions';
import type { StallPolicy, TargetChoiceState, TargetView } from '@sequoiarill/decisions';
import type { Configuration, EngineTarget, Membership, Model } from '@sequoiarill/types';

import type { AttemptLimits } from './attempt';
import * as EngineRequests from './engineRequests';
import type { AttemptOrder, TargetDecision, TargetQuery } from './generation';
import * as Prompts from './prompts';
import * as SentCounts from './sentCounts';

export interface TargetsOptions {
  readonly zone: string;
  readonly getConfiguration: () => Configuration;
  readonly getInFlight: (target: string) => number;
  readonly membership: Pick<Membership, 'getTargetHealth' | 'reportTarget'>;
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
}

export interface Targets {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly getLimits: (order: AttemptOrder) => AttemptLimits;
  readonly recordDispatch: (order: AttemptOrder) => void;
  readonly recordGap: (order: AttemptOrder, gapMs: number, isFirst: boolean) => void;
  readonly recordFailure: (target: string) => void;
  readonly dumpTargets: () => Readonly<Record<string, unknown>>;
}

/**
 * An engine that failed is passed over for so long and then tried again by whatever comes: a dead
 * VM's replacement takes seconds at the least, and one stray request finds it.
 */
const PASS_OVER_MS = 2_000;

export function createTargets(options: TargetsOptions): Targets {
  const chooser = Decisions.createTargetChooser({ nextRandom: options.nextRandom });
  const stallPolicies = new Map<string, StallPolicy>();
  const failedAtMs = new Map<string, number>();
  const sentCounts = SentCounts.createSentCounts();

  function getStallPolicy(model: string): StallPolicy {
    const known = stallPolicies.get(model);
    if (known !== undefined) return known;
    const policy = Decisions.createStallPolicy();
    stallPolicies.set(model, policy);
    return policy;
  }

  function getState(target: EngineTarget, nowMs: number): TargetChoiceState {
    if (target.vmState === 'leaving') return 'leaving';
    const failed = failedAtMs.get(target.name);
    if (failed !== undefined && nowMs - failed < PASS_OVER_MS) return 'dead';
    return options.membership.getTargetHealth(target.name)?.state ?? 'healthy';
  }

  function createView(target: EngineTarget, nowMs: number): TargetView {
    const health = options.membership.getTargetHealth(target.name);
    const inFlight = options.getInFlight(target.name);
    const view = {
      name: target.name,
      zone: target.zone,
      slots: target.slots,
      inFlight,
      state: getState(target, nowMs),
      warmShare: 1,
    };
    if (health?.running === undefined) return { ...view, sentSinceReport: 0 };
    return {
      ...view,
      reportedRunning: health.running,
      reportedWaiting: health.waiting ?? 0,
      reportAgeMs: health.ageMs,
      sentSinceReport: sentCounts.countSince(target.name, nowMs - health.ageMs),
    };
  }

  function listServing(model: Model): readonly EngineTarget[] {
    const targets = [...options.getConfiguration().targets.values()];
    return targets.filter(
      (target): target is EngineTarget =>
        target.kind === 'engine' && EngineRequests.findServedName(target, model) !== undefined,
    );
  }

  function chooseTarget(query: TargetQuery): TargetDecision {
    const nowMs = options.getNowMs();
    const { messages } = query.request;
    const serving = listServing(query.model);
    const choice = chooser.chooseTarget({
      candidates: serving.map((target) => createView(target, nowMs)),
      zone: options.zone,
      prefixKeys: Prompts.listPrefixKeys(query.model.name, messages),
      nowMs,
      excluded: query.excluded,
      purpose: query.purpose,
      promptTokens: Prompts.computePromptTokens(messages),
    });
    const target = serving.find(
      (candidate) => choice.kind === 'target' && candidate.name === choice.name,
    );
    if (target !== undefined) return { kind: 'target', target, reason: choice.reason };
    return decideLastResort(query, serving, choice.reason);
  }

  /** With every other engine gone, one that failed a moment ago may be back already. */
  function decideLastResort(
    query: TargetQuery,
    serving: readonly EngineTarget[],
    reason: string,
  ): TargetDecision {
    const target = serving.find(
      ({ name, vmState }) => vmState === 'live' && !query.excluded.has(name),
    );
    if (target === undefined) return { kind: 'none', reason, retryAfterSeconds: RETRY_SECONDS };
    return { kind: 'target', target, reason: `last resort, since ${reason}` };
  }

  return {
    chooseTarget,
    getLimits(order) {
      const tokens = order.tokenIds?.length ?? Prompts.computePromptTokens(order.request.messages);
      const { preference } = order.request.organisation;
      return getStallPolicy(order.model.name).getLimits(order.target.name, preference, tokens);
    },
    recordDispatch: (order) => sentCounts.addSent(order.target.name, options.getNowMs()),
    recordGap(order, gapMs, isFirst) {
      const policy = getStallPolicy(order.model.name);
      const { name } = order.target;
      if (!isFirst) policy.recordGap(name, gapMs);
    },
    recordFailure(target) {
      failedAtMs.set(target, options.getNowMs());
      options.membership.reportTarget({ target, state: 'dead' });
    },
    dumpTargets: () => ({ passedOver: [...failedAtMs.keys()] }),
  };
}

const RETRY_SECONDS = 2;
