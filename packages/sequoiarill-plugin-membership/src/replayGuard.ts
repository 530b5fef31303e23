/**
 * Detects replayed calls. The counters of a sender only increase, so a call that an attacker
 * recorded and sends again is detected by its counter, without synchronised clocks.
 */

/** Size of the window within which the calls of one sender may arrive out of order. */
const REPLAY_WINDOW_CALLS = 128;
/** Maximum number of senders; above the target size plus one day's restarts under new names. */
const MAX_SENDERS = 8_192;

interface Sender {
  readonly incarnation: number;
  readonly highestCounter: number;
  readonly recentCounters: ReadonlySet<number>;
}

export type ReplayOutcome =
  | { readonly kind: 'new' }
  | { readonly kind: 'repeated' }
  /** The sender has already called with a higher incarnation. */
  | { readonly kind: 'oldIncarnation'; readonly highestIncarnation: number };

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
      const sender = senders.get(from);
      if (sender === undefined || incarnation > sender.incarnation) {
        setSender(from, {
          incarnation,
          highestCounter: counter,
          recentCounters: new Set([counter]),
        });
        return { kind: 'new' };
      }
      if (incarnation < sender.incarnation) {
        return { kind: 'oldIncarnation', highestIncarnation: sender.incarnation };
      }
      const isReplayed =
        sender.recentCounters.has(counter) ||
        counter <= sender.highestCounter - REPLAY_WINDOW_CALLS;
      if (isReplayed) return { kind: 'repeated' };
      const highestCounter = Math.max(sender.highestCounter, counter);
      const recentCounters = [...sender.recentCounters].filter(
        (number) => number > highestCounter - REPLAY_WINDOW_CALLS,
      );
      setSender(from, {
        incarnation,
        highestCounter,
        recentCounters: new Set([...recentCounters, counter]),
      });
      return { kind: 'new' };
    },
  };
}
