/** Keeps up to which revision the store is known here, and how old its last confirmation of that is. */

export interface Confirmation {
  /** All changes up to this revision were seen. */
  readonly recordSeen: (revision: number) => void;
  readonly getSeenRevision: () => number;
  /** Everything that the store held at this time is known. Monotonic milliseconds. */
  readonly recordConfirmed: (atMs: number) => void;
  /** Whether everything that the store held at this time is known. Monotonic milliseconds. */
  readonly isConfirmedSince: (atMs: number) => boolean;
  /** Never below the real age. Infinite until the first confirmation; `null` in logs. Milliseconds. */
  readonly getAgeMs: () => number;
  /** The listener is called at each newer confirmation. */
  readonly subscribe: (listener: () => void) => () => void;
}

export interface ConfirmationOptions {
  readonly getNowMs: () => number;
  /** Receives the age that a confirmation had reached when a newer one arrived, in milliseconds. */
  readonly recordAge: (ageMs: number) => void;
}

export function createConfirmation({ getNowMs, recordAge }: ConfirmationOptions): Confirmation {
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let seenRevision = 0;
  const listeners = new Set<() => void>();

  function getAgeMs(): number {
    return Math.ceil(getNowMs() - confirmedAtMs);
  }

  return {
    recordSeen(revision) {
      seenRevision = Math.max(seenRevision, revision);
    },
    getSeenRevision: () => seenRevision,
    recordConfirmed(atMs) {
      if (atMs <= confirmedAtMs) return;
      if (Number.isFinite(confirmedAtMs)) recordAge(getAgeMs());
      confirmedAtMs = atMs;
      listeners.forEach((listener) => listener());
    },
    isConfirmedSince: (atMs) => confirmedAtMs >= atMs,
    getAgeMs,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
