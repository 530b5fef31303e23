/** Decisions on engines: which one is asked, how long it may be silent, what its end tells. */
import * as Decisions from '@sequoiarill/decisions';
import type { Model } from '@sequoiarill/types';

import type { AttemptLimits } from './attemptEnds';
import type { AttemptOrder, TargetDecision, TargetQuery } from './generation';
import * as Prompts from './prompts';
import type { ServingTargets } from './servingTargets';
import * as TargetViews from './targetViews';
import type { TargetViewsOptions } from './targetViews';

export interface TargetsOptions extends TargetViewsOptions {
  readonly zone: string;
  readonly serving: ServingTargets;
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
}

export interface Capacity {
  /** Weighted by how warm an engine is. */
  readonly slots: number;
  /** 0 to 1, by reports where there are some and by this router's own count elsewhere. */
  readonly busyShare: number;
}

export interface Targets {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly getLimits: (order: AttemptOrder) => AttemptLimits;
  readonly recordDispatch: (order: AttemptOrder) => void;
  readonly recordEnd: (order: AttemptOrder) => void;
  readonly recordFirstToken: (order: AttemptOrder, ms: number) => void;
  readonly recordGap: (order: AttemptOrder, ms: number) => void;
  /** The engine was lost under an attempt. */
  readonly recordFailure: (order: AttemptOrder) => void;
  /** The engine refused an attempt for lack of room. */
  readonly recordBusy: (order: AttemptOrder) => void;
  /** What the usable engines of a model can run, and how much of it is in use. */
  readonly getCapacity: (model: Model) => Capacity;
  readonly dumpTargets: () => Readonly<Record<string, unknown>>;
}

const RETRY_SECONDS = 2;

export function createTargets(options: TargetsOptions): Targets {
  const { getNowMs, getInFlight, serving } = options;
  const chooser = Decisions.createTargetChooser({ nextRandom: options.nextRandom });
  const views = TargetViews.createTargetViews(options);

  function chooseTarget(query: TargetQuery): TargetDecision {
    const nowMs = getNowMs();
    const { messages } = query.request;
    const model = query.model.name;
    const set = serving.listSet(query.model);
    const choice = chooser.chooseTarget({
      candidates: set.map((target) => views.createView(target, model, nowMs)),
      zone: options.zone,
      prefixKeys: Prompts.listPrefixKeys(model, messages),
      nowMs,
      excluded: query.excluded,
      purpose: query.purpose,
      promptTokens: Prompts.computePromptTokens(messages),
    });
    if (choice.kind === 'none') return decideLastResort(query, choice.reason);
    const target = set.find(({ name }) => name === choice.name)!;
    return { kind: 'target', target, reason: choice.reason };
  }

  /** With every engine of the set gone, one outside it or one that failed may be back already. */
  function decideLastResort(query: TargetQuery, reason: string): TargetDecision {
    const live = serving
      .listAll(query.model)
      .filter(({ name, vmState }) => vmState === 'live' && !query.excluded.has(name));
    const target = live[Math.floor(options.nextRandom() * live.length)];
    if (target === undefined) return { kind: 'none', reason, retryAfterSeconds: RETRY_SECONDS };
    return { kind: 'target', target, reason: `last resort: ${reason}` };
  }

  function getLimits(order: AttemptOrder): AttemptLimits {
    const { preference } = order.request.organisation;
    const { stalls } = views.getKnowledge(order.model.name);
    return stalls.getLimits(order.target.name, preference, computeGivenTokens(order));
  }

  function recordFirstToken(order: AttemptOrder, ms: number): void {
    const { stalls, outliers } = views.getKnowledge(order.model.name);
    const { name } = order.target;
    stalls.recordFirstToken(name, ms, computeGivenTokens(order));
    outliers.recordFirstToken(name, ms, getNowMs());
    outliers.recordSuccess(name, getNowMs());
    views.recordSuccess(name);
  }

  function recordGap(order: AttemptOrder, ms: number): void {
    const { stalls, outliers } = views.getKnowledge(order.model.name);
    stalls.recordGap(order.target.name, ms);
    outliers.recordGap(order.target.name, ms, getNowMs());
  }

  function recordFailure(order: AttemptOrder): void {
    const { name } = order.target;
    views.recordFailure(name, getNowMs());
    views.getKnowledge(order.model.name).outliers.recordFailure(name, getNowMs());
  }

  /** An engine that is full by our own count is well; one that refuses when it looks idle is not. */
  function recordBusy(order: AttemptOrder): void {
    const { name, slots } = order.target;
    if (getInFlight(name) >= slots) return;
    views.getKnowledge(order.model.name).outliers.recordFailure(name, getNowMs());
  }

  function recordEnd(order: AttemptOrder): void {
    const nowMs = getNowMs();
    views.recordEnd(order.target.name, nowMs);
    chooser.recordEnd(order.target.name, nowMs);
  }

  function getCapacity(model: Model): Capacity {
    const nowMs = getNowMs();
    let slots = 0;
    let busy = 0;
    for (const target of serving.listAll(model)) {
      const view = views.createView(target, model.name, nowMs);
      if (view.state !== 'dead' && view.state !== 'leaving') {
        slots += view.slots * view.warmShare;
        busy += Math.min(view.slots, Math.max(view.inFlight, view.reportedRunning ?? 0));
      }
    }
    return { slots, busyShare: slots === 0 ? 1 : Math.min(1, busy / slots) };
  }

  return {
    chooseTarget,
    getLimits,
    recordDispatch: (order) => views.recordSent(order.target.name, getNowMs()),
    recordEnd,
    recordFirstToken,
    recordGap,
    recordFailure,
    recordBusy,
    getCapacity,
    dumpTargets: () => ({
      failedLately: views.listFailed(getNowMs()),
      ejected: views.listEjected(getNowMs()),
    }),
  };
}

/** Tokens an engine has to prefill for an attempt; estimated until one has tokenised the prompt. */
function computeGivenTokens(order: AttemptOrder): number {
  return order.tokenIds?.length ?? Prompts.computePromptTokens(order.request.messages);
}
