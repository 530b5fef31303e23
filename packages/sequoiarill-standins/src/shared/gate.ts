/** Holds requests back while a stand-in plays a paused process. */
export interface Gate {
  readonly isClosed: () => boolean;
  readonly close: () => void;
  readonly open: () => void;
  /** Ends at once while the gate is open. */
  readonly waitOpen: () => Promise<void>;
}

export function createGate(): Gate {
  let opened: Promise<void> | undefined;
  let release: () => void = () => undefined;

  return {
    isClosed: () => opened !== undefined,
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
