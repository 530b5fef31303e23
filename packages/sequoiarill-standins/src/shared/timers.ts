/** Timers and a clock that stand still while a stand-in is silent, like those of a stopped process. */

export interface RunTimer {
  readonly cancel: () => void;
}

export interface RunTimers {
  /** Milliseconds that the timers have been running. */
  readonly getNowMs: () => number;
  readonly startTimer: (task: () => void, ms: number) => RunTimer;
  readonly waitMs: (ms: number) => Promise<void>;
  readonly stop: () => void;
  readonly resume: () => void;
}

interface PendingTask {
  readonly task: () => void;
  readonly dueMs: number;
  timeout: NodeJS.Timeout | undefined;
}

export function createRunTimers(): RunTimers {
  const pending = new Set<PendingTask>();
  let stoppedAtMs: number | undefined;
  let stoppedMs = 0;

  function getNowMs(): number {
    return (stoppedAtMs ?? performance.now()) - stoppedMs;
  }

  function delayTask(one: PendingTask): void {
    const runTask = () => {
      pending.delete(one);
      one.task();
    };
    one.timeout = setTimeout(runTask, Math.max(0, one.dueMs - getNowMs()));
  }

  function startTimer(task: () => void, ms: number): RunTimer {
    const one: PendingTask = { task, dueMs: getNowMs() + ms, timeout: undefined };
    pending.add(one);
    if (stoppedAtMs === undefined) delayTask(one);
    return {
      cancel() {
        clearTimeout(one.timeout);
        pending.delete(one);
      },
    };
  }

  return {
    getNowMs,
    startTimer,
    async waitMs(ms) {
      await new Promise<void>((resolve) => {
        startTimer(resolve, ms);
      });
    },
    stop() {
      stoppedAtMs ??= performance.now();
      for (const { timeout } of pending) clearTimeout(timeout);
    },
    resume() {
      if (stoppedAtMs === undefined) return;
      stoppedMs += performance.now() - stoppedAtMs;
      stoppedAtMs = undefined;
      pending.forEach(delayTask);
    },
  };
}
