/** Wakes the tasks that wait for a change of some state they share. */

export interface Notice {
  /** Resolves at the next `sendNotice`; check the state first, then wait. */
  readonly waitNotice: () => Promise<void>;
  readonly sendNotice: () => void;
}

/** One promise for all who wait, made only when somebody does. */
export function createNotice(): Notice {
  let waiting: Promise<void> | undefined;
  let wake: (() => void) | undefined;
  return {
    waitNotice() {
      waiting ??= new Promise((resolve) => {
        wake = resolve;
      });
      return waiting;
    },
    sendNotice() {
      wake?.();
      waiting = undefined;
      wake = undefined;
    },
  };
}
