/**
 * Decides whether a silent engine may be given up for another one.
 *
 * A silence is a suspicion, since a sound engine may be paused, and so may all engines together.
 * Giving up an attempt can't be undone: its output is discarded and its prompt is read again. So
 * another engine must be known to respond before that; until then the attempt is kept.
 */
import type { EngineTarget } from '@sequoiarill/types';

import type { EngineProbes } from './engineProbes';

export interface SilenceOptions extends EngineProbes {
  /** The engine that is silent. */
  readonly target: EngineTarget;
  /** Chooses an engine that could go on, other than the named ones. */
  readonly chooseSuccessor: (unresponsive: ReadonlySet<string>) => EngineTarget | undefined;
  readonly getRunningMs: () => number;
}

/** One silence of one engine, from its first suspicion until the engine speaks. */
export interface Silence {
  /** Finds an engine that may go on now; undefined if the silent one is to be kept. */
  readonly findSuccessor: () => Promise<EngineTarget | undefined>;
}

/** Engines asked in one search; others follow in the next one. */
const MAX_ASKED = 3;
/**
 * Time that a silent engine gets to speak once another engine responds that did not before: engines
 * that were paused together resume within moments of each other, and the silent one needs no prefill.
 */
const RESUMPTION_MS = 200;

export function createSilence(options: SilenceOptions): Silence {
  const { target, getRunningMs } = options;
  let isShared = false;
  let keptUntilMs: number | undefined;

  /** Returns the first engine that responds; asks them one after another, best first. */
  async function findResponding(): Promise<EngineTarget | undefined> {
    const unresponsive = new Set<string>();
    while (unresponsive.size < MAX_ASKED) {
      const candidate = options.chooseSuccessor(unresponsive);
      if (candidate === undefined) return undefined;
      if (await options.checkResponding(candidate)) return candidate;
      unresponsive.add(candidate.name);
      isShared = true;
    }
    return undefined;
  }

  async function findSuccessor(): Promise<EngineTarget | undefined> {
    const [responding, isAccepting] = await Promise.all([
      findResponding(),
      options.checkAccepting(target),
    ]);
    if (responding === undefined) return undefined;
    if (!isShared || !isAccepting) return responding;
    keptUntilMs ??= getRunningMs() + RESUMPTION_MS;
    return getRunningMs() >= keptUntilMs ? responding : undefined;
  }

  return { findSuccessor };
}
