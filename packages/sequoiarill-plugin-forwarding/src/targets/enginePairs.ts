/** Chooses the engine of a run and the holder of its copy among the engines that have reported. */
import * as Decisions from '@sequoiarill/decisions';
import type {
  EngineView,
  EntryDecision,
  LatencyAdmissionDecision,
  StreamAdmissionQuery,
} from '@sequoiarill/decisions';
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';
import type { ForwardingDependencies } from '../dependencies';

export interface EnginePair {
  /** Prompts that the target prefills before this one. */
  readonly promptsAhead: number;
  /** Whether a new stream should be admitted there. */
  readonly admission: LatencyAdmissionDecision;
  /** The same where it is decided who gets room; undefined where this is not decided, or not for this stream. */
  readonly entry: EntryDecision | undefined;
  /** Whether the target has KV cache for the stream, or this is not known. */
  readonly hasTokens: boolean;
  /** Whether the stream would start there at once. */
  readonly hasRoom: boolean;
  readonly target: ForwardingTarget;
  readonly backup: ForwardingTarget | undefined;
}

/** What it depends on whether a new stream may go to an engine. */
export interface EntryTerms {
  readonly level: number;
  readonly rank: number;
  readonly waitedMs: number;
  /** Its caller was refused before, so that it is late already. */
  readonly isReturning: boolean;
  /** Whether it has asked engines before. */
  readonly hasAsked: boolean;
}

/** Prompt and expected output. */
export function countNeededTokens(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
): number {
  return request.promptTokens + countOutputTokens(dependencies, request);
}

/** Output that the stream probably produces. */
export function countOutputTokens(
  { getRunEstimates }: ForwardingDependencies,
  { service, outputTokens = 0 }: ForwardRequest,
): number {
  return outputTokens > 0 ? outputTokens : getRunEstimates(service).getMeanOutputTokens();
}

export function hasBackups(dependencies: ForwardingDependencies, request: ForwardRequest): boolean {
  const service = dependencies.directory.getConfiguration()?.services.get(request.service);
  return service?.engine?.hasBackups === true && request.route.retryPolicy === 'resumable';
}

function hasSameBuild(
  left: ForwardingTarget | undefined,
  right: ForwardingTarget | undefined,
): boolean {
  if (left === undefined || right === undefined) return false;
  return Decisions.isSameBuild(Decisions.getBuild(left), Decisions.getBuild(right));
}

/** Free slots that may be taken before a prompt arrives. */
const CONTENDED_SLOTS = 2;

interface PairQuery {
  readonly views: readonly EngineView[];
  readonly available: readonly ForwardingTarget[];
  readonly terms: EntryTerms | undefined;
}

export function pickPair(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  { views, available, terms }: PairQuery,
): EnginePair | undefined {
  const { promptTokens } = request;
  const estimates = dependencies.getPromptEstimates(request.service);
  const byId = new Map(available.map((target) => [target.id, target]));
  const placement = Decisions.chooseEngines({
    views,
    isSameBuild: (left, right) => hasSameBuild(byId.get(left), byId.get(right)),
    zone: dependencies.zone,
    promptTokens,
    outputTokens: countOutputTokens(dependencies, request),
    usualPromptTokens: estimates.getMeanTokens(),
    prefillMsPerToken: estimates.getMsPerToken(),
  });
  const target = byId.get(placement?.target ?? '');
  if (placement === undefined || target === undefined) return undefined;
  const backup = hasBackups(dependencies, request) ? byId.get(placement.backup ?? '') : undefined;
  const { firstEventMs, slotWaitMs = 0 } = placement;
  // Behind other runs, the time to the first event is not that of the prefill alone.
  const promptsAhead =
    slotWaitMs > 0 ? Math.max(1, placement.promptsAhead) : placement.promptsAhead;
  const { objectiveMs } = request.route;
  const timing = { promptsAhead, firstEventMs, objectiveMs };
  const view = views.find(({ id }) => id === target.id);
  const entry = decideEntry(dependencies, request, view, { timing, terms });
  const admission = Decisions.decideStreamAdmission(timing);
  const freeTokens = view?.room?.freeTokens ?? Number.POSITIVE_INFINITY;
  return {
    target,
    backup,
    promptsAhead: countCertain(promptsAhead, view),
    admission,
    entry,
    hasTokens: countNeededTokens(dependencies, request) <= freeTokens,
    hasRoom: hasRoom(view, target, countNeededTokens(dependencies, request)),
  };
}

function hasRoom(
  view: EngineView | undefined,
  { slots }: ForwardingTarget,
  neededTokens: number,
): boolean {
  if (view === undefined) return false;
  const { room, queued, running, sentSince, usedTokens, totalTokens } = view;
  if (queued > 0) return false;
  if (room !== undefined) return room.freeSlots > 0 && neededTokens <= room.freeTokens;
  return running + sentSince < slots && usedTokens + neededTokens <= totalTokens;
}

/**
 * Failure: other routers take the last slots of an engine before a prompt arrives, and its wait for a slot is
 * measured as its prefill. All streams then expect to be late, and are refused.
 */
function countCertain(promptsAhead: number, view: EngineView | undefined): number {
  const isContended = view?.room !== undefined && view.room.freeSlots <= CONTENDED_SLOTS;
  return isContended ? Math.max(1, promptsAhead) : promptsAhead;
}

interface EntryOptions {
  readonly timing: StreamAdmissionQuery;
  readonly terms: EntryTerms | undefined;
}

/** Undefined where it is not decided who gets room. */
function decideEntry(
  dependencies: ForwardingDependencies,
  request: ForwardRequest,
  view: EngineView | undefined,
  { timing, terms }: EntryOptions,
): EntryDecision | undefined {
  if (view?.room === undefined || terms === undefined) return undefined;
  const { level, rank, waitedMs, isReturning } = terms;
  const elapsedMs = isReturning ? 0 : waitedMs;
  return Decisions.decideEntry({
    ...timing,
    room: view.room,
    neededTokens: countNeededTokens(dependencies, request),
    rank,
    level,
    waitedMs,
    firstEventMs: timing.firstEventMs + elapsedMs * Decisions.MAX_OBJECTIVE_SHARE,
  });
}
