/** Chooses engines, sets the timeouts of attempts, and evaluates how attempts end. */
import * as Decisions from '@sequoiarill/decisions';
import type { Model } from '@sequoiarill/types';

import type { AttemptLimits } from './attemptResults';
import type { Attempt, TargetDecision, TargetQuery } from './generation';
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
  /** Each engine counts by its warm share, as a new or returning one gets less load. */
  readonly slots: number;
  /** 0 to 1; for each engine the higher of its load report and this router's own count. */
  readonly busyShare: number;
}

export interface Targets {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly getLimits: (attempt: Attempt) => AttemptLimits;
  readonly recordDispatch: (attempt: Attempt) => void;
  readonly recordEnd: (attempt: Attempt) => void;
  readonly recordFirstToken: (attempt: Attempt, ms: number) => void;
  readonly recordGap: (attempt: Attempt, ms: number) => void;
  /** Records that the engine was lost during an attempt. */
  readonly recordFailure: (attempt: Attempt) => void;
  /** Records that the engine refused an attempt for lack of capacity. */
  readonly recordBusy: (attempt: Attempt) => void;
  /** Slots of the available engines of a model, and the share of them in use. */
  readonly getCapacity: (model: Model) => Capacity;
  readonly dumpTargets: () => Readonly<Record<string, unknown>>;
}

const RETRY_SECONDS = 2;

export function createTargets(options: TargetsOptions): Targets {
  const { getNowMs, getInFlight, serving } = options;
  const chooser = Decisions.createTargetChooser({ nextRandom: options.nextRandom });
  const views = TargetViews.createTargetViews(options);

  function chooseTarget(query: TargetQuery): TargetDecision {
    if (query.suspected.size === 0) return chooseFrom(query);
    const excluded = new Set([...query.excluded, ...query.suspected]);
    const decision = chooseFrom({ ...query, excluded });
    return decision.kind === 'target' ? decision : chooseFrom(query);
  }

  function chooseFrom(query: TargetQuery): TargetDecision {
    const nowMs = getNowMs();
    const { messages } = query.request;
    const model = query.model.name;
    const selected = serving
      .listSelected(query.model)
      .filter(({ name }) => query.only === undefined || name === query.only);
    const choice = chooser.chooseTarget({
      candidates: selected.map((target) => views.createView(target, model, nowMs)),
      zone: options.zone,
      prefixKeys: Prompts.listPrefixKeys(model, messages),
      nowMs,
      excluded: query.excluded,
      purpose: query.purpose,
      promptTokens: Prompts.computePromptTokens(messages),
      isTentative: query.isTentative === true,
    });
    if (choice.kind === 'none') return chooseLastResort(query, choice.reason);
    const target = selected.find(({ name }) => name === choice.name)!;
    return { kind: 'target', target, reason: choice.reason };
  }

  /** With no usable engine in the set, tries any live one: a failed one may have recovered. */
  function chooseLastResort(query: TargetQuery, reason: string): TargetDecision {
    const live = serving
      .listAll(query.model)
      .filter(({ name, vmState }) => vmState === 'live' && !query.excluded.has(name))
      .filter(({ name }) => query.only === undefined || name === query.only);
    const target = live[Math.floor(options.nextRandom() * live.length)];
    if (target === undefined) return { kind: 'none', reason, retryAfterSeconds: RETRY_SECONDS };
    return { kind: 'target', target, reason: `last resort: ${reason}` };
  }

  function getLimits(attempt: Attempt): AttemptLimits {
    const { preference } = attempt.request.organisation;
    const { stalls } = views.getStatistics(attempt.model.name);
    return stalls.getLimits(attempt.target.name, preference, computePrefillTokens(attempt));
  }

  function recordFirstToken(attempt: Attempt, ms: number): void {
    const { stalls, outliers } = views.getStatistics(attempt.model.name);
    const { name } = attempt.target;
    stalls.recordFirstToken(name, ms, computePrefillTokens(attempt));
    outliers.recordFirstToken(name, ms, getNowMs());
    outliers.recordSuccess(name, getNowMs());
    views.recordSuccess(name);
  }

  function recordGap(attempt: Attempt, ms: number): void {
    const { stalls, outliers } = views.getStatistics(attempt.model.name);
    stalls.recordGap(attempt.target.name, ms);
    outliers.recordGap(attempt.target.name, ms, getNowMs());
  }

  function recordFailure(attempt: Attempt): void {
    const { name } = attempt.target;
    views.recordFailure(name, getNowMs());
    views.getStatistics(attempt.model.name).outliers.recordFailure(name, getNowMs());
  }

  /** A refusal counts as a failure unless this router's own in-flight requests fill the engine. */
  function recordBusy(attempt: Attempt): void {
    const { name, slots } = attempt.target;
    if (getInFlight(name) >= slots) return;
    views.getStatistics(attempt.model.name).outliers.recordFailure(name, getNowMs());
  }

  function recordEnd(attempt: Attempt): void {
    const nowMs = getNowMs();
    views.recordEnd(attempt.target.name, nowMs);
    chooser.recordEnd(attempt.target.name, nowMs);
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
    recordDispatch: (attempt) => views.recordSent(attempt.target.name, getNowMs()),
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

/** Tokens to prefill for an attempt; an estimate until an engine has tokenised the prompt. */
function computePrefillTokens(attempt: Attempt): number {
  return attempt.tokenIds?.length ?? Prompts.computePromptTokens(attempt.request.messages);
}
