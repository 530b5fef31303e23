/** Wakes the tasks that wait for a change of some state they share. */

export interface Notifier {
  /** Resolves at the next `sendNotification`; check the state first, then wait. */
  readonly waitForNotification: () => Promise<void>;
  readonly sendNotification: () => void;
}

/** All waiting tasks share one promise, which is created on demand. */
export function createNotifier(): Notifier {
  let waiting: Promise<void> | undefined;
  let wake: (() => void) | undefined;
  return {
    waitForNotification() {
      waiting ??= new Promise((resolve) => {
        wake = resolve;
      });
      return waiting;
    },
    sendNotification() {
      wake?.();
      waiting = undefined;
      wake = undefined;
    },
  };
}
