/**
 * Chooses the engine of a run, and the engine that holds the copy of its KV cache.
 *
 * A prompt of thousands of tokens occupies an engine for a second, and engines crash a zone at a
 * time. If a router considered its own work only, prompts of several routers would collide at one
 * engine while others idle: first events would wait for all prompts ahead of them, and events of
 * running streams would be delayed between prefill chunks. A prompt sent to a dead engine waits in
 * vain. So the router queries the load of some engines just before the choice, leaves out those
 * that do not respond, and places the copy in another zone, which the next crash is unlikely to
 * affect as well.
 */

import * as RendezvousHashing from './rendezvousHashing';
import type { EngineRoom } from './room/engineRoom';

/** State of one engine as it reported it in response to the query. */
export interface EngineView {
  readonly id: string;
  readonly zone: string;
  readonly running: number;
  readonly queued: number;
  /** Runs that have not produced their first event yet. */
  readonly prefilling: number;
  /** Runs that this router sent there after the engine counted its load. */
  readonly sentSince: number;
  readonly usedTokens: number;
  readonly totalTokens: number;
  /** Tokens of this prompt that are cached there and need no prefill; 0 if that was not queried. */
  readonly keptTokens: number;
  /** Whether few engines of its build are left; only for streams that could begin at any build. */
  readonly isScarce: boolean;
  /** Duration of work there relative to the median engine; 1 unless it is known. */
  readonly speedFactor?: number;
  /** Only where it is decided who gets room. */
  readonly room?: EngineRoom;
  /** Part of the queue that is probably ahead of this stream; 1 unless engines order it by rank. */
  readonly queueShare?: number;
  /** Expected time until a slot is free, milliseconds; 0 unless it is known. */
  readonly slotWaitMs?: number;
}

export interface EnginePlacementQuery {
  readonly views: readonly EngineView[];
  /** Whether the run of one engine can continue at the other, by their ids. */
  readonly isSameBuild: (left: string, right: string) => boolean;
  /** Zone of this router. */
  readonly zone: string;
  readonly promptTokens: number;
  /** Expected output, which counts where the room of engines is known. */
  readonly outputTokens?: number;
  /**
   * Assumed for runs of other routers, since load reports lack their size; see
   * `createPromptEstimates`.
   */
  readonly usualPromptTokens: number;
  readonly prefillMsPerToken: number;
}

export interface EnginePlacement {
  readonly target: string;
  /** Prompts that the engine prefills first. */
  readonly promptsAhead: number;
  /** Expected wait for the first event there, milliseconds. */
  readonly firstEventMs: number;
  /** Part of it until a slot is free; absent where one is, or nothing is known of slots. */
  readonly slotWaitMs?: number;
  readonly backup?: string;
}

/** Cost for each stream that runs there, whose events are delayed by the chunks of the prompt. */
const DISTURBED_STREAM_COST_MS = 40;
/** A connection to another zone adds a millisecond or two and depends on links that can fail. */
const REMOTE_ZONE_COST_MS = 60;
/** An engine without enough free KV cache preempts or refuses; it is the last resort. */
const NO_CAPACITY_COST_MS = 10_000;
/** Space that must remain beside the prompt for its output and the growth of other runs, tokens. */
const HEADROOM_TOKENS = 2_000;

/**
 * Load pattern: a build is being replaced, and its last engines would get new streams like all others. These
 * streams could go on nowhere once the engines leave, and streams that the build has begun, which can go on only there,
 * would find them full. So an engine of another build is preferred unless two prompts wait there.
 */
const SCARCE_BUILD_COST_MS = 2_000;
/** Engines of a build below which it is scarce: two that serve must have room for what comes back. */
const MIN_ENGINES_PER_BUILD = 3;

/** Whether too few engines of a build are left for new streams, while another build has enough. */
export function isScarceBuild(engines: number, mostEngines: number): boolean {
  return engines < MIN_ENGINES_PER_BUILD && mostEngines >= MIN_ENGINES_PER_BUILD;
}

/**
 * A cached prompt saves the prefill for this run and for those that would wait behind it at another
 * engine, so an engine that holds the prompt is preferred even if it prefills one other prompt
 * first.
 */
const CACHED_TOKEN_WEIGHT = 2;

function countPromptsAhead({ prefilling, queued, sentSince, queueShare = 1 }: EngineView): number {
  return prefilling + queued * queueShare + sentSince;
}

/**
 * Expected cost of a run there, milliseconds: its own wait for the first event and the delay to
 * others.
 */
export function computeEngineCost(view: EngineView, query: EnginePlacementQuery): number {
  const { promptTokens, zone, usualPromptTokens } = query;
  const { speedFactor = 1, slotWaitMs = 0 } = view;
  const prefillMsPerToken = query.prefillMsPerToken * speedFactor;
  const waitMs = countPromptsAhead(view) * usualPromptTokens * prefillMsPerToken + slotWaitMs;
  const prefillMs = (promptTokens - view.keptTokens * CACHED_TOKEN_WEIGHT) * prefillMsPerToken;
  const streams = Math.max(0, view.running - view.prefilling);
  const zoneMs = view.zone === zone ? 0 : REMOTE_ZONE_COST_MS;
  const capacityMs = hasTokens(view, query) ? 0 : NO_CAPACITY_COST_MS;
  const scarceMs = view.isScarce ? SCARCE_BUILD_COST_MS : 0;
  return prefillMs + waitMs + streams * DISTURBED_STREAM_COST_MS + zoneMs + capacityMs + scarceMs;
}

function hasTokens(
  { room, usedTokens, totalTokens }: EngineView,
  { promptTokens, outputTokens = 0 }: EnginePlacementQuery,
): boolean {
  if (room !== undefined) return promptTokens + outputTokens <= room.freeTokens;
  return usedTokens + promptTokens + HEADROOM_TOKENS <= totalTokens;
}

/** Engines of the local zone that are queried for one prompt; also the maximum for any zone. */
const LOCAL_ZONE_SAMPLE = 2;
/** Engines of all other zones together that are queried for one prompt. */
const REMOTE_ZONES_SAMPLE = 4;

/**
 * Returns how many engines of a zone are queried for one prompt.
 *
 * A query costs the engine a check and mostly a new connection. Two engines of each zone are six in
 * three zones but ten in five, which find no better placement. So the total hardly grows with the
 * number of zones; at least one engine of each zone is queried, since all engines of a zone can
 * fail at once.
 */
export function computeZoneSampleSize(isLocal: boolean, zones: number): number {
  if (isLocal) return LOCAL_ZONE_SAMPLE;
  const share = Math.floor(REMOTE_ZONES_SAMPLE / Math.max(1, zones - 1));
  return Math.min(LOCAL_ZONE_SAMPLE, Math.max(1, share));
}

/**
 * Selects the engines to query for one prompt: every router selects the same ones of each zone.
 *
 * When a router dies or is stopped, the callers of its streams resume through other routers. With a
 * random selection, the engine that still caches the prompt would be found by chance only, and some
 * tens of prompts would be prefilled again while engines are scarce.
 */
export function selectCandidates<Engine extends { readonly id: string; readonly zone: string }>(
  engines: readonly Engine[],
  prompt: string,
  getSampleSize: (zone: string) => number,
): readonly Engine[] {
  const digest = RendezvousHashing.hashName(prompt);
  const ranked = engines
    .map((engine) => ({
      engine,
      rank: RendezvousHashing.hashPair(RendezvousHashing.hashName(engine.id), digest),
    }))
    .sort((left, right) => right.rank - left.rank);
  const takenByZone = new Map<string, number>();
  return ranked
    .filter(({ engine }) => {
      const count = (takenByZone.get(engine.zone) ?? 0) + 1;
      takenByZone.set(engine.zone, count);
      return count <= getSampleSize(engine.zone);
    })
    .map(({ engine }) => engine);
}

/**
 * Tokens of a prompt that need no prefill: a cached part is usable only if all parts before it are
 * cached.
 */
export function computeCachedTokens(
  parts: readonly { readonly id: string; readonly tokens: number }[],
  cachedTokensById: ReadonlyMap<string, number>,
): number {
  let tokens = 0;
  for (const part of parts) {
    const cachedTokens = Math.min(part.tokens, cachedTokensById.get(part.id) ?? 0);
    tokens += cachedTokens;
    if (cachedTokens < part.tokens) return tokens;
  }
  return tokens;
}

/**
 * Selects the engines that are preferred for the copy of a run: those in another zone than the run,
 * which the next crash is unlikely to affect as well; among these, those in the router's zone,
 * since a copy there remains reachable when the link between the zones fails.
 */
export function selectCopyHolders<Engine extends { readonly zone: string }>(
  engines: readonly Engine[],
  runZone: string,
  routerZone: string,
): readonly Engine[] {
  const remote = engines.filter(({ zone }) => zone !== runZone);
  const local = remote.filter(({ zone }) => zone === routerZone);
  return [local, remote, engines].find((group) => group.length > 0) ?? [];
}

/** Returns undefined if there is no engine to choose from. */
export function chooseEngines(query: EnginePlacementQuery): EnginePlacement | undefined {
  const target = pickCheapest(query.views, query);
  if (target === undefined) return undefined;
  const others = query.views.filter(
    ({ id }) => id !== target.id && query.isSameBuild(id, target.id),
  );
  const holders = selectCopyHolders(others, target.zone, query.zone);
  const backup = pickCheapest(holders, { ...query, zone: '' });
  const promptsAhead = countPromptsAhead(target);
  const uncachedTokens = Math.max(0, query.promptTokens - target.keptTokens);
  const tokensAhead = promptsAhead * query.usualPromptTokens;
  const { speedFactor = 1, slotWaitMs = 0 } = target;
  const prefillMsPerToken = query.prefillMsPerToken * speedFactor;
  const firstEventMs = (tokensAhead + uncachedTokens) * prefillMsPerToken + slotWaitMs;
  return {
    target: target.id,
    promptsAhead,
    firstEventMs,
    ...(slotWaitMs === 0 ? {} : { slotWaitMs }),
    ...(backup === undefined ? {} : { backup: backup.id }),
  };
}

function pickCheapest(
  views: readonly EngineView[],
  query: EnginePlacementQuery,
): EngineView | undefined {
  let best: EngineView | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const view of views) {
    const cost = computeEngineCost(view, query);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}
