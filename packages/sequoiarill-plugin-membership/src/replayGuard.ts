/**
 * Tells a call apart from its repetition. Numbers of one sender only rise, so a recorded call that
 * a stranger sends again is known by its number, without clocks that would have to agree.
 */

/** Calls of one sender that may overtake each other. */
const WINDOW = 128;
/** Senders remembered; above the target size with a day's restarts under new names. */
const MAX_SENDERS = 8_192;

interface Sender {
  readonly incarnation: number;
  readonly highest: number;
  readonly recent: ReadonlySet<number>;
}

export type ReplayOutcome =
  | { readonly kind: 'new' }
  | { readonly kind: 'repeated' }
  /** The sender has been heard with a higher incarnation. */
  | { readonly kind: 'oldIncarnation'; readonly highest: number };

export interface ReplayGuard {
  readonly admitCall: (from: string, incarnation: number, counter: number) => ReplayOutcome;
}

export function createReplayGuard(): ReplayGuard {
  const senders = new Map<string, Sender>();

  function setSender(from: string, sender: Sender): void {
    senders.delete(from);
    senders.set(from, sender);
    const [oldest] = senders.keys();
    if (senders.size > MAX_SENDERS && oldest !== undefined) senders.delete(oldest);
  }

  return {
    admitCall(from, incarnation, counter) {
      const known = senders.get(from);
      if (known === undefined || incarnation > known.incarnation) {
        setSender(from, { incarnation, highest: counter, recent: new Set([counter]) });
        return { kind: 'new' };
      }
      if (incarnation < known.incarnation) {
        return { kind: 'oldIncarnation', highest: known.incarnation };
      }
      const isRepeated = known.recent.has(counter) || counter <= known.highest - WINDOW;
      if (isRepeated) return { kind: 'repeated' };
      const highest = Math.max(known.highest, counter);
      const recent = [...known.recent].filter((number) => number > highest - WINDOW);
      setSender(from, { incarnation, highest, recent: new Set([...recent, counter]) });
      return { kind: 'new' };
    },
  };
}
