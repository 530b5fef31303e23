/** Helpers that wait until a paused stand-in resumes or until a time has passed. */
export interface Gate {
  readonly close: () => void;
  readonly open: () => void;
  /** Resolves at once while the gate is open, otherwise when it opens. */
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

/** Waits for the given milliseconds without keeping the process alive. */
export function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}

/** A timer for one delayed task; scheduling another task replaces the pending one. */
export interface DeferredTask {
  /** Runs the task after the given milliseconds; does not keep the process alive. */
  readonly delay: (ms: number, task: () => Promise<void>) => void;
  readonly cancel: () => void;
}

export function createDeferredTask(): DeferredTask {
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
