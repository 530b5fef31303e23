/** What targets hold of this router's copies, and which of its runs have just ended there. */
import type { ForwardingTarget } from '@sequoiarill/types';

import * as Incarnations from './targetIncarnation';

/** A request at a target, as far as it takes room there. */
export interface OwnRun {
  readonly id: string;
  readonly promptTokens: number;
  /** Prompt and expected output. */
  readonly tokens: number;
}

export interface CopyRecord {
  /** The run has produced events, so its copy is being made. */
  readonly recordBegun: () => void;
  /** The run has ended. */
  readonly recordEnd: () => void;
}

export interface OwnLoad {
  /** Tokens of the copies that were ordered since the report. */
  readonly copyTokens: number;
  /** Runs that have just ended; the report shows those whose ids it lists. */
  readonly ended: readonly OwnRun[];
}

export interface OwnLoads {
  readonly recordRunEnd: (target: ForwardingTarget, run: OwnRun) => void;
  readonly recordCopy: (target: ForwardingTarget, tokens: number) => CopyRecord;
  /** The target has reported its load, as it was up to the report's lag ago. */
  readonly recordReport: (target: ForwardingTarget) => void;
  readonly getLoad: (target: ForwardingTarget) => OwnLoad;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
}

interface Entry {
  readonly target: ForwardingTarget;
  ended: readonly (OwnRun & { readonly atMs: number })[];
  readonly copies: Set<{ readonly tokens: number; begunAtMs: number }>;
}

export function createOwnLoads(getNowMs: () => number, reportLagMs: number): OwnLoads {
  const entries = new Map<string, Entry>();

  function getEntry(target: ForwardingTarget): Entry {
    const key = Incarnations.formatIncarnation(target);
    const entry = entries.get(key) ?? { target, ended: [], copies: new Set() };
    entries.set(key, entry);
    return entry;
  }

  function listRecentlyEnded({ ended }: Entry): Entry['ended'] {
    return ended.filter(({ atMs }) => getNowMs() - atMs <= reportLagMs);
  }

  return {
    recordRunEnd(target, run) {
      const entry = getEntry(target);
      entry.ended = [...listRecentlyEnded(entry), { ...run, atMs: getNowMs() }];
    },
    recordCopy(target, tokens) {
      const { copies } = getEntry(target);
      const copy = { tokens, begunAtMs: Number.POSITIVE_INFINITY };
      copies.add(copy);
      return {
        recordBegun() {
          copy.begunAtMs = Math.min(copy.begunAtMs, getNowMs());
        },
        recordEnd: () => copies.delete(copy),
      };
    },
    recordReport(target) {
      const { copies } = getEntry(target);
      for (const copy of copies) {
        if (getNowMs() - copy.begunAtMs >= reportLagMs) copies.delete(copy);
      }
    },
    getLoad(target) {
      const entry = getEntry(target);
      const copyTokens = [...entry.copies].reduce((sum, { tokens }) => sum + tokens, 0);
      return { copyTokens, ended: listRecentlyEnded(entry) };
    },
    removeMissing(isCurrent) {
      for (const [key, { target }] of entries) {
        if (!isCurrent(target)) entries.delete(key);
      }
    },
  };
}
