/**
 * Chooses the target of one attempt.
 *
 * Load pattern: many routers choosing at once from lagging reports. The least loaded of all by report
 * is the same target for every router and is buried; a choice among a few random samples by
 * corrected load spreads them and costs the same at any number of targets. Same zone first; another
 * zone when its expected wait is shorter by more than the way there; targets that probably have the
 * prompt's prefix cached are always among the considered.
 */
import * as ExpectedWait from './expectedWait';
import * as PrefixAffinity from './prefixAffinity';
import type {
  TargetChoice,
  TargetChoiceRequest,
  ConsideredTarget,
  TargetView,
} from './targetChoiceTypes';

/** Usable candidates drawn from the own zone and from others. */
export interface SampleCounts {
  readonly zone: number;
  readonly other: number;
}

/** More gain nothing; some of other zones are needed where one of the own zone is slow. */
const DEFAULT_SAMPLES: SampleCounts = { zone: 4, other: 2 };
/** Targets where a stream of this router just ended, so that a slot is known to be free. */
const MAX_FREED = 4;
/** More names than candidates means that most are gone. */
const MAX_KNOWN_INDICES = 4_000;
/** Other routers fill a freed slot in about this time. Milliseconds. */
const FREED_MEMORY_MS = 200;
/** Draws before the list is searched through: enough to find the samples among many unusable. */
const MAX_DRAWS = 24;
/** A middling prompt, where the request does not say. Tokens. */
const DEFAULT_PROMPT_TOKENS = 500;
/** Targets come back or are replaced in about this time. Seconds. */
const NO_TARGET_RETRY_SECONDS = 2;

export interface TargetChooserOptions {
  /** Uniform in [0, 1). */
  readonly nextRandom: () => number;
  readonly samples?: SampleCounts;
}

export interface TargetChooser {
  readonly chooseTarget: (request: TargetChoiceRequest) => TargetChoice;
  /** A stream ended there: in saturation the surest sign of a free slot, newer than any report. */
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
  /** Where chosen targets were among the candidates: saves a search while the list is unchanged. */
  const indexByName = new Map<string, number>();
  let freed: readonly FreedTarget[] = [];

  function recordEnd(target: string, nowMs: number): void {
    const indexHint = indexByName.get(target) ?? 0;
    freed = [{ name: target, indexHint, usedAtMs: nowMs }, ...freed.slice(0, MAX_FREED - 1)];
  }

  function recordChoice(name: string, index: number): void {
    if (indexByName.size >= MAX_KNOWN_INDICES) indexByName.clear();
    indexByName.set(name, index);
  }

  function listFreed(request: TargetChoiceRequest): readonly number[] {
    freed = freed.filter((one) => request.nowMs - one.usedAtMs <= FREED_MEMORY_MS);
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
    if (best === undefined) return decideNone(request);
    freed = freed.filter((one) => one.name !== best.name);
    recordChoice(best.name, best.index);
    affinity.recordUse(request.prefixKeys, best.name, best.index, request.nowMs);
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

/** Usable candidates that probably hold a prefix of the prompt, by index. */
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
    const home = findHome(request);
    if (home !== undefined) shares.set(home, 0);
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

/** The shortest prefix is the one that prompts share, such as a shop's instructions. */
function findHome(request: TargetChoiceRequest): number | undefined {
  const shared = request.prefixKeys.at(-1);
  if (shared === undefined) return undefined;
  const local = request.candidates.filter((view) => view.zone === request.zone);
  const pool = local.length > 0 ? local : request.candidates;
  const home =
    pool[
      PrefixAffinity.choosePreferredTarget(
        shared,
        pool.map((view) => view.name),
      )
    ];
  if (home === undefined || !isUsable(home, request)) return undefined;
  return request.candidates.indexOf(home);
}

/** Indices of some usable candidates, own zone preferred; of all usable ones when draws fail. */
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

/** A home of a prefix wins a tie, so that routers agree on it. */
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

function decideNone(request: TargetChoiceRequest): TargetChoice {
  const reason =
    request.candidates.length === 0
      ? 'no target serves this model'
      : `none of ${request.candidates.length} targets is usable: dead, leaving or already tried`;
  return { kind: 'none', reason, retryAfterSeconds: NO_TARGET_RETRY_SECONDS };
}
