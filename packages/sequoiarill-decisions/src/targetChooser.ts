/**
 * Chooses the target of one attempt.
 *
 * Load pattern: many routers choose at the same time from outdated load reports. The target with the least
 * reported load is the same for every router and would be overloaded. Choosing among a few random samples
 * by corrected load spreads the requests and costs the same for any number of targets. Local targets are
 * preferred; another zone is used when its expected wait is shorter by more than the network latency to
 * it. Targets that probably have a prefix of the prompt cached are always considered.
 */
import * as ExpectedWait from './expectedWait';
import * as PrefixAffinity from './prefixAffinity';
import type {
  TargetChoice,
  TargetChoiceRequest,
  ConsideredTarget,
  TargetView,
} from './targetChoiceTypes';

/** Number of usable candidates that are sampled from the local zone and from other zones. */
export interface SampleCounts {
  readonly zone: number;
  readonly other: number;
}

/** More samples bring no gain; some of other zones are needed in case the local ones are slow. */
const DEFAULT_SAMPLES: SampleCounts = { zone: 4, other: 2 };
/** Tracked targets where a stream of this router just ended, so that a slot is probably free. */
const MAX_FREED = 4;
/** Above this size most entries belong to removed targets, and the cache is cleared. */
const MAX_CACHED_INDICES = 4_000;
/** Other routers use a freed slot within about this time. */
const FREED_TTL_MS = 200;
/** Random draws before all candidates are searched: enough to find samples among many unusable ones. */
const MAX_DRAWS = 24;
/** Prompt length that is assumed where the request gives none: an average prompt. */
const DEFAULT_PROMPT_TOKENS = 500;
/** Targets recover or are replaced within about this time. */
const NO_TARGET_RETRY_AFTER_SECONDS = 2;

export interface TargetChooserOptions {
  /** Uniform in [0, 1). */
  readonly nextRandom: () => number;
  readonly samples?: SampleCounts;
}

export interface TargetChooser {
  readonly chooseTarget: (request: TargetChoiceRequest) => TargetChoice;
  /** Records the end of a stream: under saturation the best evidence of a free slot, newer than reports. */
  readonly recordEnd: (target: string, nowMs: number) => void;
}

type FreedTarget = PrefixAffinity.PrefixHolder;

interface Considered extends ConsideredTarget {
  readonly index: number;
  readonly isHolder: boolean;
}

export function createTargetChooser(options: TargetChooserOptions): TargetChooser {
  const affinity = PrefixAffinity.createPrefixAffinity();
  const samples = options.samples ?? DEFAULT_SAMPLES;
  /** Last indices of chosen targets among the candidates: avoids a search while the list is unchanged. */
  const indexByName = new Map<string, number>();
  let freed: readonly FreedTarget[] = [];

  function recordEnd(target: string, nowMs: number): void {
    const indexHint = indexByName.get(target) ?? 0;
    freed = [{ name: target, indexHint, usedAtMs: nowMs }, ...freed.slice(0, MAX_FREED - 1)];
  }

  function recordChoice(name: string, index: number): void {
    if (indexByName.size >= MAX_CACHED_INDICES) indexByName.clear();
    indexByName.set(name, index);
  }

  function listFreed(request: TargetChoiceRequest): readonly number[] {
    freed = freed.filter((one) => request.nowMs - one.usedAtMs <= FREED_TTL_MS);
    return freed
      .map((one) => findCandidate(request.candidates, one))
      .filter((index) => {
        const view = request.candidates[index];
        return view !== undefined && isUsable(view, request);
      });
  }

  function chooseTarget(request: TargetChoiceRequest): TargetChoice {
    const shares = listCachedShares(request, affinity);
    const indices = new Set([
      ...shares.keys(),
      ...listFreed(request),
      ...sampleIndices(request, samples, options.nextRandom),
    ]);
    const considered = [...indices].map((index) => computeConsidered(request, index, shares));
    const best = pickShortest(considered);
    if (best === undefined) return buildNoTargetChosen(request);
    if (request.isTentative !== true) {
      freed = freed.filter((one) => one.name !== best.name);
      recordChoice(best.name, best.index);
      affinity.recordUse(request.prefixKeys, best.name, best.index, request.nowMs);
    }
    return {
      kind: 'target',
      name: best.name,
      reason: explainChoice(best, considered.length),
      considered: considered.map(({ name, expectedWait, cachedShare }) => ({
        name,
        expectedWait,
        cachedShare,
      })),
    };
  }

  return { chooseTarget, recordEnd };
}

function isUsable(view: TargetView, request: TargetChoiceRequest): boolean {
  if (view.state === 'dead' || view.state === 'leaving') return false;
  return !request.excluded.has(view.name);
}

/** Cached share by candidate index, for usable holders of a prefix or else the preferred target. */
function listCachedShares(
  request: TargetChoiceRequest,
  affinity: PrefixAffinity.PrefixAffinity,
): ReadonlyMap<number, number> {
  const shares = new Map<number, number>();
  if (request.prefixKeys.length === 0) return shares;
  for (const { holder, cachedShare } of affinity.listMatches(request.prefixKeys, request.nowMs)) {
    const index = findCandidate(request.candidates, holder);
    const view = request.candidates[index];
    if (view !== undefined && isUsable(view, request)) shares.set(index, cachedShare);
  }
  if (shares.size === 0) {
    const preferred = findPreferredTarget(request);
    if (preferred !== undefined) shares.set(preferred, 0);
  }
  return shares;
}

function findCandidate(
  candidates: readonly TargetView[],
  holder: PrefixAffinity.PrefixHolder,
): number {
  if (candidates[holder.indexHint]?.name === holder.name) return holder.indexHint;
  return candidates.findIndex((view) => view.name === holder.name);
}

/** Ranks by the shortest prefix, since that is the one that prompts share (a shop's instructions, say). */
function findPreferredTarget(request: TargetChoiceRequest): number | undefined {
  const sharedPrefix = request.prefixKeys.at(-1);
  if (sharedPrefix === undefined) return undefined;
  const local = request.candidates.filter((view) => view.zone === request.zone);
  const pool = local.length > 0 ? local : request.candidates;
  const preferred =
    pool[
      PrefixAffinity.choosePreferredTarget(
        sharedPrefix,
        pool.map((view) => view.name),
      )
    ];
  if (preferred === undefined || !isUsable(preferred, request)) return undefined;
  return request.candidates.indexOf(preferred);
}

/** Samples usable candidates of the local and other zones; if no draw hits one, returns all usable. */
function sampleIndices(
  request: TargetChoiceRequest,
  samples: SampleCounts,
  nextRandom: () => number,
): readonly number[] {
  const { candidates } = request;
  const local = new Set<number>();
  const other = new Set<number>();
  for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
    if (local.size >= samples.zone && other.size >= samples.other) break;
    const index = Math.floor(nextRandom() * candidates.length);
    const view = candidates[index];
    if (view !== undefined && isUsable(view, request)) {
      const bucket = view.zone === request.zone ? local : other;
      const room = bucket === local ? samples.zone : samples.other;
      if (bucket.size < room) bucket.add(index);
    }
  }
  if (local.size + other.size > 0) return [...local, ...other];
  return [...candidates.keys()].filter((index) => {
    const view = candidates[index];
    return view !== undefined && isUsable(view, request);
  });
}

function computeConsidered(
  request: TargetChoiceRequest,
  index: number,
  shares: ReadonlyMap<number, number>,
): Considered {
  const view = request.candidates[index] as TargetView;
  const cachedShare = shares.get(index) ?? 0;
  const expectedWait = ExpectedWait.computeExpectedWait(view, {
    zone: request.zone,
    purpose: request.purpose,
    promptTokens: request.promptTokens ?? DEFAULT_PROMPT_TOKENS,
    cachedShare,
  });
  return { index, name: view.name, expectedWait, cachedShare, isHolder: shares.has(index) };
}

/**
 * The first of equal candidates wins. Prefix holders come first, or else the preferred target, so that
 * the routers agree on the target of a prefix that none of them has sent yet.
 */
function pickShortest(considered: readonly Considered[]): Considered | undefined {
  let best: Considered | undefined;
  for (const candidate of considered) {
    if (best === undefined || candidate.expectedWait < best.expectedWait) best = candidate;
  }
  return best;
}

function explainChoice(best: Considered, count: number): string {
  const cached = best.isHolder ? `, ${Math.round(best.cachedShare * 100)}% of prefixes cached` : '';
  return `shortest expected wait of ${count}: ${Math.round(best.expectedWait)} ms${cached}`;
}

function buildNoTargetChosen(request: TargetChoiceRequest): TargetChoice {
  const reason =
    request.candidates.length === 0
      ? 'no target serves this model'
      : `none of ${request.candidates.length} targets is usable: dead, leaving or already tried`;
  return { kind: 'none', reason, retryAfterSeconds: NO_TARGET_RETRY_AFTER_SECONDS };
}
