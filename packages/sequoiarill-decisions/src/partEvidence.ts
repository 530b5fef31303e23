/**
 * Finds parts of prompts that crash the targets that answer them.
 *
 * Load pattern: requests share a part that crashes targets, and no two of them are alike. Counted by content,
 * each of them starts at zero. So crashes are counted by each part of the prompts. A crash breaks off many
 * runs, and their parts are counted as well; an answer shows that a part is sound and removes the crashes
 * before it. What remains is a part under which several targets crashed in a row and that nothing answered.
 *
 * A part that is always sent together with the one to blame has the same evidence. So a block names the other
 * parts that all the crashed requests held, and only requests with all of them are refused.
 */
import type { PartBlock, PartCrash, RunStage } from '@sequoiarill/types';

/** How far a run had come when its target closed the connection. */
export interface RunProgress {
  /** Whether the head of an answer had arrived. */
  readonly hasHead: boolean;
  /** Time since its first event, milliseconds; undefined without events. */
  readonly ranMs: number | undefined;
}

type StageWeights = Readonly<Record<RunStage, number>>;

/** Sum of the weights of crashes of different targets that supports a block. */
const BLOCK_WEIGHT = 4;
/** A run that had just begun is more likely the cause than one that waited, or had gone on for a while. */
const STAGE_WEIGHTS: StageWeights = { waiting: 0.25, begun: 1, running: 0.4 };
/**
 * Weights for a part that nobody remembers answered, and that most targets which ended were running. Where targets end by
 * chance, each part is under a few of them.
 */
const DISTINCT_WEIGHTS: StageWeights = { ...STAGE_WEIGHTS, running: 1 };
/** Time after the first event within which a run had just begun. */
const BEGUN_MS = 300;

export function decideStage({ hasHead, ranMs }: RunProgress): RunStage {
  if (!hasHead) return 'waiting';
  return (ranMs ?? 0) <= BEGUN_MS ? 'begun' : 'running';
}

/** `strong`: runs that had just begun suffice; `medium`: with those that were running; `weak`: only with all. */
export type EvidenceStrength = 'strong' | 'medium' | 'weak';

export interface PartEvidence {
  readonly recordCrash: (crash: PartCrash, nowMs: number) => void;
  /** Removes crashes that are not later than the answer. */
  readonly recordAnswer: (part: string, atMs: number) => void;
  /** `isOrdinary`: whether the part may be under crashes by chance, so that more of them are needed. */
  readonly findBlock: (part: string, nowMs: number, isOrdinary: boolean) => PartBlock | undefined;
  readonly decideStrength: (part: string, isOrdinary: boolean) => EvidenceStrength;
  /** Removes crashes of these targets under waiting requests, because another request explains them. */
  readonly removeExplained: (part: string, targets: readonly string[]) => void;
  readonly countParts: () => number;
}

/** Crashes of a part that are kept, the latest. */
const MAX_CRASHES = 24;
const MAX_PARTS = 1_000;
const RETENTION_MS = 1_800_000;

interface CountedCrash {
  readonly atMs: number;
  readonly stage: RunStage;
  /** Other parts of all requests with the part that the target ran. */
  readonly others: ReadonlySet<string>;
  readonly organisations: ReadonlySet<string>;
}

/** Crashes by target, in the order in which they were counted. */
type Crashes = Map<string, CountedCrash>;

function listCommon(sets: readonly ReadonlySet<string>[]): readonly string[] {
  const [first, ...rest] = sets;
  return [...(first ?? [])].filter((value) => rest.every((set) => set.has(value)));
}

function computeWeight(crashes: readonly CountedCrash[], weights = STAGE_WEIGHTS): number {
  return crashes.reduce((sum, { stage }) => sum + weights[stage], 0);
}

function buildBlock(
  part: string,
  crashes: Crashes,
  nowMs: number,
  weights: StageWeights,
): PartBlock | undefined {
  const counted = [...crashes.values()];
  if (computeWeight(counted, weights) < BLOCK_WEIGHT) return undefined;
  const [organisation, ...further] = listCommon(counted.map(({ organisations }) => organisations));
  const times = counted.map(({ atMs }) => atMs);
  return {
    part,
    others: listCommon(counted.map(({ others }) => others)),
    ...(organisation === undefined || further.length > 0 ? {} : { organisation }),
    targets: [...crashes.keys()],
    firstAgeMs: nowMs - Math.min(...times),
    lastAgeMs: nowMs - Math.max(...times),
    failedTrials: 0,
  };
}

function selectWeightier(known: RunStage | undefined, stage: RunStage): RunStage {
  if (known === undefined) return stage;
  return STAGE_WEIGHTS[known] >= STAGE_WEIGHTS[stage] ? known : stage;
}

function mergeCrash(
  known: CountedCrash | undefined,
  crash: PartCrash,
  nowMs: number,
): CountedCrash {
  return {
    atMs: known?.atMs ?? nowMs - crash.ageMs,
    stage: selectWeightier(known?.stage, crash.stage),
    others: new Set([...(known?.others ?? []), ...crash.others]),
    organisations: new Set([...(known?.organisations ?? []), crash.organisation]),
  };
}

export function createPartEvidence(): PartEvidence {
  const crashesByPart = new Map<string, Crashes>();

  /** The part with the fewest crashes yields, so that many new parts do not displace evidence. */
  function removeWeakest(): void {
    let weakest: string | undefined;
    let fewest = Number.POSITIVE_INFINITY;
    for (const [part, { size }] of crashesByPart) {
      if (size < fewest) [weakest, fewest] = [part, size];
    }
    if (weakest !== undefined) crashesByPart.delete(weakest);
  }

  function getCrashes(part: string): Crashes {
    const existing = crashesByPart.get(part);
    if (existing !== undefined) return existing;
    if (crashesByPart.size >= MAX_PARTS) removeWeakest();
    const crashes: Crashes = new Map();
    crashesByPart.set(part, crashes);
    return crashes;
  }

  function removeCrashes(part: string, isRemoved: (crash: CountedCrash) => boolean): void {
    const crashes = crashesByPart.get(part);
    if (crashes === undefined) return;
    for (const [target, crash] of crashes) if (isRemoved(crash)) crashes.delete(target);
    if (crashes.size === 0) crashesByPart.delete(part);
  }

  function findBlock(part: string, nowMs: number, isOrdinary: boolean): PartBlock | undefined {
    const weights = isOrdinary ? STAGE_WEIGHTS : DISTINCT_WEIGHTS;
    removeCrashes(part, ({ atMs }) => nowMs - atMs >= RETENTION_MS);
    const crashes = crashesByPart.get(part);
    return crashes === undefined ? undefined : buildBlock(part, crashes, nowMs, weights);
  }

  return {
    recordCrash(crash, nowMs) {
      const crashes = getCrashes(crash.part);
      crashes.set(crash.target, mergeCrash(crashes.get(crash.target), crash, nowMs));
      const oldest = crashes.keys().next();
      if (crashes.size > MAX_CRASHES && oldest.done !== true) crashes.delete(oldest.value);
    },
    recordAnswer: (part, atMs) => removeCrashes(part, (crash) => crash.atMs <= atMs),
    findBlock,
    decideStrength(part, isOrdinary) {
      const weights = isOrdinary ? STAGE_WEIGHTS : DISTINCT_WEIGHTS;
      const crashes = [...(crashesByPart.get(part)?.values() ?? [])];
      const isEnough = (stages: readonly RunStage[]): boolean =>
        computeWeight(
          crashes.filter(({ stage }) => stages.includes(stage)),
          weights,
        ) >= BLOCK_WEIGHT;
      if (isEnough(['begun'])) return 'strong';
      return isEnough(['begun', 'running']) ? 'medium' : 'weak';
    },
    removeExplained(part, targets) {
      const explained = new Set(targets.map((target) => crashesByPart.get(part)?.get(target)));
      removeCrashes(part, (crash) => crash.stage === 'waiting' && explained.has(crash));
    },
    countParts: () => crashesByPart.size,
  };
}
