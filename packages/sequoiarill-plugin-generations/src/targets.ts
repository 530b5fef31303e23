/** What this router knows of its engines, and the decisions that follow from it. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  OutlierDetector,
  StallPolicy,
  TargetChoiceState,
  TargetView,
} from '@sequoiarill/decisions';
import type { EngineTarget, Membership } from '@sequoiarill/types';

import type { AttemptLimits } from './attempt';
import type { AttemptOrder, TargetDecision, TargetQuery } from './generation';
import * as Prompts from './prompts';
import * as SentCounts from './sentCounts';
import type { ServingTargets } from './servingTargets';

export interface TargetsOptions {
  readonly routerName: string;
  readonly zone: string;
  readonly serving: ServingTargets;
  readonly getInFlight: (target: string) => number;
  readonly membership: Pick<Membership, 'getTargetHealth' | 'reportTarget'>;
  readonly nextRandom: () => number;
  readonly getNowMs: () => number;
}

export interface Targets {
  readonly chooseTarget: (query: TargetQuery) => TargetDecision;
  readonly getLimits: (order: AttemptOrder) => AttemptLimits;
  readonly recordDispatch: (order: AttemptOrder) => void;
  readonly recordFirstToken: (order: AttemptOrder, ms: number) => void;
  readonly recordGap: (order: AttemptOrder, ms: number) => void;
  /** The engine was lost under an attempt. */
  readonly recordFailure: (order: AttemptOrder) => void;
  /** The engine refused an attempt for lack of room. */
  readonly recordBusy: (order: AttemptOrder) => void;
  readonly dumpTargets: () => Readonly<Record<string, unknown>>;
}

/** Engines are compared with their peers of the same model only. */
interface ModelKnowledge {
  readonly stalls: StallPolicy;
  readonly outliers: OutlierDetector;
}

/**
 * An engine that failed is passed over for so long and then tried again by whatever comes: a dead
 * VM's replacement takes seconds at the least, and one stray request finds it.
 */
const PASS_OVER_MS = 2_000;
const RETRY_SECONDS = 2;

export function createTargets(options: TargetsOptions): Targets {
  const { getNowMs, getInFlight, membership, serving } = options;
  const chooser = Decisions.createTargetChooser({ nextRandom: options.nextRandom });
  const knowledgeByModel = new Map<string, ModelKnowledge>();
  const failedAtMs = new Map<string, number>();
  const sentCounts = SentCounts.createSentCounts();

  function getKnowledge(model: string): ModelKnowledge {
    const known = knowledgeByModel.get(model);
    if (known !== undefined) return known;
    const knowledge = {
      stalls: Decisions.createStallPolicy(),
      outliers: Decisions.createOutlierDetector(),
    };
    knowledgeByModel.set(model, knowledge);
    return knowledge;
  }

  function getState(
    target: EngineTarget,
    outliers: OutlierDetector,
    nowMs: number,
  ): TargetChoiceState {
    if (target.vmState === 'leaving') return 'leaving';
    const failed = failedAtMs.get(target.name);
    if (failed !== undefined && nowMs - failed < PASS_OVER_MS) return 'dead';
    const own = outliers.getState(target.name, nowMs);
    if (own !== 'healthy') return own;
    const health = membership.getTargetHealth(target.name);
    // Our own word that it is dead has had its time: whoever said so first also tries it first, or
    // an engine that is back would stay unused until every router's word of it has aged.
    const isOwnWord = health?.state === 'dead' && health.observer === options.routerName;
    return health === undefined || isOwnWord ? 'healthy' : health.state;
  }

  function createView(target: EngineTarget, outliers: OutlierDetector, nowMs: number): TargetView {
    const health = membership.getTargetHealth(target.name);
    const view = {
      name: target.name,
      zone: target.zone,
      slots: target.slots,
      inFlight: getInFlight(target.name),
      state: getState(target, outliers, nowMs),
      warmShare: outliers.getWarmShare(target.name, nowMs),
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

  function chooseTarget(query: TargetQuery): TargetDecision {
    const nowMs = getNowMs();
    const { messages } = query.request;
    const { outliers } = getKnowledge(query.model.name);
    const set = serving.listSet(query.model);
    const choice = chooser.chooseTarget({
      candidates: set.map((target) => createView(target, outliers, nowMs)),
      zone: options.zone,
      prefixKeys: Prompts.listPrefixKeys(query.model.name, messages),
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
    const { messages, organisation } = order.request;
    const tokens = order.tokenIds?.length ?? Prompts.computePromptTokens(messages);
    const { stalls } = getKnowledge(order.model.name);
    return stalls.getLimits(order.target.name, organisation.preference, tokens);
  }

  function recordFirstToken(order: AttemptOrder, ms: number): void {
    const { stalls, outliers } = getKnowledge(order.model.name);
    const { name } = order.target;
    const tokens = order.tokenIds?.length ?? Prompts.computePromptTokens(order.request.messages);
    stalls.recordFirstToken(name, ms, tokens);
    outliers.recordFirstToken(name, ms, getNowMs());
    outliers.recordSuccess(name, getNowMs());
    if (!failedAtMs.delete(name)) return;
    membership.reportTarget({ target: name, state: 'healthy' });
  }

  function recordGap(order: AttemptOrder, ms: number): void {
    const { stalls, outliers } = getKnowledge(order.model.name);
    stalls.recordGap(order.target.name, ms);
    outliers.recordGap(order.target.name, ms, getNowMs());
  }

  function recordFailure(order: AttemptOrder): void {
    const target = order.target.name;
    failedAtMs.set(target, getNowMs());
    getKnowledge(order.model.name).outliers.recordFailure(target, getNowMs());
    membership.reportTarget({ target, state: 'dead' });
  }

  /** An engine that is full by our own count is well; one that refuses when it looks idle is not. */
  function recordBusy(order: AttemptOrder): void {
    const { name, slots } = order.target;
    if (getInFlight(name) >= slots) return;
    getKnowledge(order.model.name).outliers.recordFailure(name, getNowMs());
  }

  function dumpTargets(): Readonly<Record<string, unknown>> {
    const nowMs = getNowMs();
    const failed = [...failedAtMs].filter(([, atMs]) => nowMs - atMs < PASS_OVER_MS);
    const ejected = [...knowledgeByModel].map(([model, { outliers }]) => [
      model,
      outliers.listEjected(nowMs),
    ]);
    return {
      failedLately: failed.map(([name]) => name),
      ejected: Object.fromEntries(ejected) as unknown,
    };
  }

  return {
    chooseTarget,
    getLimits,
    recordDispatch: (order) => sentCounts.addSent(order.target.name, getNowMs()),
    recordFirstToken,
    recordGap,
    recordFailure,
    recordBusy,
    dumpTargets,
  };
}
