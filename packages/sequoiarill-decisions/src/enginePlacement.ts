/**
 * Chooses the engine of a run, and the one that keeps a copy of its memory.
 *
 * Load pattern: prompts of thousands of tokens, each of which occupies an engine for a second, on engines
 * that crash a zone at a time. Placed by this router's own work alone, prompts of several routers meet
 * at one engine while its neighbours idle: first events wait for the sum of the prompts before them,
 * and events of running streams come between their chunks. Placed on a dead engine they wait for
 * nothing. So some engines are asked for their load just before, those that do not answer are left out,
 * and the copy goes to another zone, which the next crash is unlikely to take as well.
 */

import * as RendezvousHashing from './rendezvousHashing';

/** One engine that was asked, as it answered. */
export interface EngineView {
  readonly id: string;
  readonly zone: string;
  readonly running: number;
  readonly queued: number;
  /** Runs that have not made their first event yet. */
  readonly prefilling: number;
  /** What this router sent there since the engine counted. */
  readonly sentSince: number;
  readonly usedTokens: number;
  readonly totalTokens: number;
  /** Tokens of this prompt that it keeps and need not prefill; 0 where it was not asked. */
  readonly keptTokens: number;
}

export interface EnginePlacementQuestion {
  readonly views: readonly EngineView[];
  /** Zone of this router. */
  readonly zone: string;
  readonly promptTokens: number;
  /** Of a run that another router sent, since reports do not tell; see `createPromptEstimates`. */
  readonly usualPromptTokens: number;
  readonly prefillMsPerToken: number;
}

export interface EnginePlacement {
  readonly target: string;
  /** Prompts that are read there first. */
  readonly promptsAhead: number;
  /** Expected wait for the first event there, milliseconds. */
  readonly firstEventMs: number;
  readonly backup?: string;
}

/** A prompt's chunks come between the events of each stream that runs there, milliseconds. */
const DISTURBED_STREAM_MS = 40;
/** A way to another zone takes a millisecond or two and crosses links that can be cut. */
const OTHER_ZONE_MS = 60;
/** An engine without room preempts or refuses: the last resort, milliseconds. */
const NO_ROOM_MS = 10_000;
/** Output and other requests' growth that must still fit beside the prompt, tokens. */
const HEADROOM_TOKENS = 2_000;

/**
 * A kept prompt saves its prefill to this run and to those that would wait behind it elsewhere; so a
 * keeper that reads one other prompt is still the better place.
 */
const KEPT_FACTOR = 2;

function countPromptsAhead({ prefilling, queued, sentSince }: EngineView): number {
  return prefilling + queued + sentSince;
}

/** Expected cost of a run there, milliseconds until the first event and to others. */
export function computeEngineCost(view: EngineView, question: EnginePlacementQuestion): number {
  const { promptTokens, zone, usualPromptTokens, prefillMsPerToken } = question;
  const waitMs = countPromptsAhead(view) * usualPromptTokens * prefillMsPerToken;
  const ownMs = (promptTokens - view.keptTokens * KEPT_FACTOR) * prefillMsPerToken;
  const streams = Math.max(0, view.running - view.prefilling);
  const zoneMs = view.zone === zone ? 0 : OTHER_ZONE_MS;
  const needed = view.usedTokens + promptTokens + HEADROOM_TOKENS;
  const roomMs = needed > view.totalTokens ? NO_ROOM_MS : 0;
  return ownMs + waitMs + streams * DISTURBED_STREAM_MS + zoneMs + roomMs;
}

/** Engines of the router's own zone that are asked for one prompt, and most of any zone. */
const OWN_ZONE_SAMPLE = 2;
/** Engines of all other zones together that are asked. */
const OTHER_ZONES_SAMPLE = 4;

/**
 * How many engines of a zone are asked for one prompt.
 *
 * Load pattern: many zones. A question costs a check and mostly a connection, and two engines of each
 * zone are as many as six in three zones but ten in five, which find no better place. So the number of
 * zones hardly counts; one engine of each is asked, since whole zones go at once.
 */
export function computeZoneSample(isOwn: boolean, zones: number): number {
  if (isOwn) return OWN_ZONE_SAMPLE;
  const share = Math.floor(OTHER_ZONES_SAMPLE / Math.max(1, zones - 1));
  return Math.min(OWN_ZONE_SAMPLE, Math.max(1, share));
}

/**
 * The engines that are asked for one prompt: of each zone the same first ones on every router.
 *
 * Load pattern: a router dies or is stopped, and the callers of its streams come back to other
 * routers for the rest. Asked at random, the engine that still keeps the prompt is found by luck, and
 * some tens of prompts are prefilled once more while engines are short.
 */
export function selectCandidates<Engine extends { readonly id: string; readonly zone: string }>(
  engines: readonly Engine[],
  prompt: string,
  countIn: (zone: string) => number,
): readonly Engine[] {
  const digest = RendezvousHashing.hashName(prompt);
  const ranked = engines
    .map((engine) => ({
      engine,
      rank: RendezvousHashing.hashPair(RendezvousHashing.hashName(engine.id), digest),
    }))
    .sort((left, right) => right.rank - left.rank);
  const taken = new Map<string, number>();
  return ranked
    .filter(({ engine }) => {
      const count = (taken.get(engine.zone) ?? 0) + 1;
      taken.set(engine.zone, count);
      return count <= countIn(engine.zone);
    })
    .map(({ engine }) => engine);
}

/** Tokens of a prompt that need no prefill: a part is of use only behind all parts before it. */
export function computeCachedTokens(
  parts: readonly { readonly id: string; readonly tokens: number }[],
  kept: ReadonlyMap<string, number>,
): number {
  let tokens = 0;
  for (const part of parts) {
    const found = Math.min(part.tokens, kept.get(part.id) ?? 0);
    tokens += found;
    if (found < part.tokens) return tokens;
  }
  return tokens;
}

/**
 * Those of `engines` that are best to keep the copy of a run: in another zone than the run, which the
 * next crash is unlikely to take as well; of these, in the router's own, since a copy there is left when
 * the link between the zones is cut.
 */
export function selectCopyHolders<Engine extends { readonly zone: string }>(
  engines: readonly Engine[],
  runZone: string,
  routerZone: string,
): readonly Engine[] {
  const elsewhere = engines.filter(({ zone }) => zone !== runZone);
  const near = elsewhere.filter(({ zone }) => zone === routerZone);
  return [near, elsewhere, engines].find((some) => some.length > 0) ?? [];
}

/** Undefined when no engine was there to choose from. */
export function chooseEngines(question: EnginePlacementQuestion): EnginePlacement | undefined {
  const target = pickCheapest(question.views, question);
  if (target === undefined) return undefined;
  const others = question.views.filter(({ id }) => id !== target.id);
  const holders = selectCopyHolders(others, target.zone, question.zone);
  const backup = pickCheapest(holders, { ...question, zone: '' });
  const promptsAhead = countPromptsAhead(target);
  const ownTokens = Math.max(0, question.promptTokens - target.keptTokens);
  const tokensAhead = promptsAhead * question.usualPromptTokens;
  const firstEventMs = (tokensAhead + ownTokens) * question.prefillMsPerToken;
  return {
    target: target.id,
    promptsAhead,
    firstEventMs,
    ...(backup === undefined ? {} : { backup: backup.id }),
  };
}

function pickCheapest(
  views: readonly EngineView[],
  question: EnginePlacementQuestion,
): EngineView | undefined {
  let best: EngineView | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const view of views) {
    const cost = computeEngineCost(view, question);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}
