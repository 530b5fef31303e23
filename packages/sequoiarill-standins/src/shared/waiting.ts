/** Waiting: for a paused stand-in to go on, and for time to pass. */
export interface Gate {
  readonly close: () => void;
  readonly open: () => void;
  /** Ends at once while the gate is open. */
  readonly waitOpen: () => Promise<void>;
}

export function createGate(): Gate {
  let opened: Promise<void> | undefined;
  let release: () => void = () => undefined;

  return {
    close() {
      opened ??= new Promise((resolve) => {
        release = resolve;
      });
    },
    open() {
      opened = undefined;
      release();
    },
    async waitOpen() {
      while (opened !== undefined) await opened;
    },
  };
}

/** A pause of so many milliseconds that does not keep the process alive. */
export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}

/** A task that may be put off; a later one replaces it. */
export interface LaterTask {
  /** Runs the task after so many milliseconds, unless the process has ended by then. */
  readonly delay: (ms: number, task: () => Promise<void>) => void;
  readonly cancel: () => void;
}

export function createLaterTask(): LaterTask {
  let timer: NodeJS.Timeout | undefined;
  return {
    delay(ms, task) {
      clearTimeout(timer);
      timer = setTimeout(() => {
        task().catch((error: unknown) => {
          process.stderr.write(`${String(error)}\n`);
        });
      }, ms).unref();
    },
    cancel: () => clearTimeout(timer),
  };
}
