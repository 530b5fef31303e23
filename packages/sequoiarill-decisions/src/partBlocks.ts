/** Knows which parts of prompts are blocked, and merges what routers tell each other of them. */
import type { PartBlock, PartCrash } from '@sequoiarill/types';

/** What is compared with blocks. */
export interface PartHolder {
  /** Ids of all parts of the prompt. */
  readonly parts: readonly string[];
  readonly organisation: string;
}

/**
 * `news`: the part was not blocked here before. `changed`: the block refuses more requests than before, or a
 * trial has failed. `known`: nothing changes. `refuted`: the part was answered since the first crash.
 */
export type PartBlockResult = 'news' | 'changed' | 'known' | 'refuted';

export interface RecordedPartBlock {
  readonly result: PartBlockResult;
  /** Time since the answer that refutes the block, milliseconds; 0 for other results. */
  readonly answeredAgeMs: number;
}

export interface PartBlocks {
  /** Blocks that refuse the request. */
  readonly listMatching: (holder: PartHolder, nowMs: number) => readonly PartBlock[];
  readonly recordBlock: (block: PartBlock, nowMs: number) => RecordedPartBlock;
  /** Returns the block with a target that it did not have. What it refuses does not change by a crash alone. */
  readonly recordCrash: (
    crash: PartCrash,
    nowMs: number,
    isTrialDue: (block: PartBlock) => boolean,
  ) => PartBlock | undefined;
  /** Returns whether the answer lifts a block. */
  readonly recordAnswer: (part: string, atMs: number) => boolean;
  readonly hasBlock: (part: string) => boolean;
  /** Whether a block of another part explains the crashes of this one. */
  readonly isExplained: (block: PartBlock) => boolean;
  /** Whether the part is not blocked, or the block refuses requests that the known one does not. */
  readonly isNews: (block: PartBlock) => boolean;
  readonly list: (nowMs: number) => readonly PartBlock[];
}

/** Whether a block with these parts and this organisation refuses the request. */
export function isRefused(
  { part, others, organisation }: Pick<PartBlock, 'part' | 'others' | 'organisation'>,
  holder: PartHolder,
): boolean {
  if (organisation !== undefined && organisation !== holder.organisation) return false;
  return [part, ...others].every((one) => holder.parts.includes(one));
}

/** Share of the targets of a block under which a block of another part explains it. */
const EXPLAINED_SHARE = 0.75;
const MAX_TARGETS = 32;
const MAX_BLOCKS = 1_000;
const MAX_ANSWERS = 1_000;
/** Time after its last crash for which a block is kept. */
const RETENTION_MS = 86_400_000;

interface KeptBlock {
  readonly others: ReadonlySet<string>;
  readonly organisation: string | undefined;
  /** The same with those that were answered since. */
  readonly heldParts: ReadonlySet<string>;
  readonly targets: ReadonlySet<string>;
  readonly firstMs: number;
  readonly lastMs: number;
  readonly failedTrials: number;
}

function mergeBlocks(left: KeptBlock, right: KeptBlock): KeptBlock {
  return {
    others: new Set([...left.others].filter((part) => right.others.has(part))),
    organisation: left.organisation === right.organisation ? left.organisation : undefined,
    heldParts: new Set([...left.heldParts].filter((part) => right.heldParts.has(part))),
    targets: new Set([...left.targets, ...right.targets].slice(-MAX_TARGETS)),
    firstMs: Math.min(left.firstMs, right.firstMs),
    lastMs: Math.max(left.lastMs, right.lastMs),
    failedTrials: Math.max(left.failedTrials, right.failedTrials),
  };
}

function isWider(after: KeptBlock, before: KeptBlock): boolean {
  return (
    after.others.size < before.others.size ||
    after.organisation !== before.organisation ||
    after.failedTrials > before.failedTrials
  );
}

type Explainable = Pick<KeptBlock, 'heldParts' | 'targets'>;

/**
 * Whether a block of the part explains a block of the other part: it has most of its targets, not all of whose requests
 * held the part, and either its own requests all held the other part, so that it refuses fewer, or it has more
 * targets.
 */
function hasMostOf(
  [part, block]: readonly [string, KeptBlock],
  [otherPart, other]: readonly [string, Explainable],
): boolean {
  if (part === otherPart || other.heldParts.has(part)) return false;
  const shared = [...other.targets].filter((target) => block.targets.has(target)).length;
  if (shared < other.targets.size * EXPLAINED_SHARE) return false;
  return block.heldParts.has(otherPart) || block.targets.size > other.targets.size;
}

function removeOldest(map: Map<string, unknown>, maxSize: number): void {
  const oldest = map.keys().next();
  if (map.size > maxSize && oldest.done !== true) map.delete(oldest.value);
}

export function createPartBlocks(): PartBlocks {
  const blocks = new Map<string, KeptBlock>();
  const answeredAtMs = new Map<string, number>();

  function format(part: string, block: KeptBlock, nowMs: number): PartBlock {
    const { others, organisation, targets, firstMs, lastMs, failedTrials } = block;
    return {
      part,
      others: [...others],
      ...(organisation === undefined ? {} : { organisation }),
      targets: [...targets],
      firstAgeMs: Math.max(0, nowMs - firstMs),
      lastAgeMs: Math.max(0, nowMs - lastMs),
      failedTrials,
    };
  }

  function removeExpired(nowMs: number): void {
    for (const [part, { lastMs }] of blocks) {
      if (nowMs - lastMs >= RETENTION_MS) blocks.delete(part);
    }
  }

  function setBlock(part: string, block: KeptBlock): void {
    blocks.delete(part);
    blocks.set(part, block);
    removeOldest(blocks, MAX_BLOCKS);
  }

  /** Whether a block of another part explains this one, which has come about by runs beside its own. */
  function isExplained(part: string, block: Explainable): boolean {
    return [...blocks].some((known) => hasMostOf(known, [part, block]));
  }

  function removeExplained(part: string, block: KeptBlock): void {
    for (const known of blocks) if (hasMostOf([part, block], known)) blocks.delete(known[0]);
  }

  return {
    listMatching(holder, nowMs) {
      if (blocks.size === 0) return [];
      return [...new Set(holder.parts)].flatMap((part) => {
        const block = blocks.get(part);
        if (block === undefined) return [];
        const formatted = format(part, block, nowMs);
        return isRefused(formatted, holder) ? formatted : [];
      });
    },
    recordBlock(received, nowMs) {
      const { part, others, organisation, targets, lastAgeMs, failedTrials } = received;
      const firstMs = nowMs - received.firstAgeMs;
      const answered = answeredAtMs.get(part);
      if (answered !== undefined && firstMs <= answered) {
        return { result: 'refuted', answeredAgeMs: nowMs - answered };
      }
      const block = {
        others: new Set(others),
        organisation,
        heldParts: new Set(others),
        targets: new Set(targets),
        firstMs,
        lastMs: nowMs - lastAgeMs,
        failedTrials,
      };
      const before = blocks.get(part);
      const after = before === undefined ? block : mergeBlocks(before, block);
      if (isExplained(part, after)) return { result: 'known', answeredAgeMs: 0 };
      setBlock(part, after);
      removeExplained(part, after);
      if (before === undefined) return { result: 'news', answeredAgeMs: 0 };
      return { result: isWider(after, before) ? 'changed' : 'known', answeredAgeMs: 0 };
    },
    recordCrash(crash, nowMs, isTrialDue) {
      const before = blocks.get(crash.part);
      if (before === undefined) return undefined;
      const isFailedTrial = isTrialDue(format(crash.part, before, nowMs));
      const after = mergeBlocks(before, {
        ...before,
        targets: new Set([crash.target]),
        lastMs: nowMs - crash.ageMs,
        failedTrials: before.failedTrials + (isFailedTrial ? 1 : 0),
      });
      setBlock(crash.part, after);
      removeExplained(crash.part, after);
      return before.targets.has(crash.target) ? undefined : format(crash.part, after, nowMs);
    },
    recordAnswer(part, atMs) {
      for (const [blocked, block] of blocks) {
        if (block.others.has(part)) {
          const others = new Set([...block.others].filter((other) => other !== part));
          blocks.set(blocked, { ...block, others });
        }
      }
      const block = blocks.get(part);
      if (block === undefined || block.firstMs > atMs) return false;
      blocks.delete(part);
      answeredAtMs.delete(part);
      answeredAtMs.set(part, atMs);
      removeOldest(answeredAtMs, MAX_ANSWERS);
      return true;
    },
    hasBlock: (part) => blocks.has(part),
    isExplained: ({ part, others, targets }) =>
      isExplained(part, { heldParts: new Set(others), targets: new Set(targets) }),
    isNews({ part, others, organisation }) {
      const known = blocks.get(part);
      if (known === undefined) return true;
      const isNarrower = [...known.others].some((other) => !others.includes(other));
      return isNarrower || (known.organisation !== undefined && organisation === undefined);
    },
    list(nowMs) {
      removeExpired(nowMs);
      return [...blocks].map(([part, block]) => format(part, block, nowMs));
    },
  };
}
