/**
 * Continuous batching: one timer steps all running generations together.
 *
 * Load pattern: hundreds of streams in one process. A timer for each stream would cost more than the
 * tokens; one timer for all keeps the stand-in cheap and its streams in step, as real engines are.
 */
import type { Generation } from './generation';

export interface SchedulerOptions {
  readonly stepMs: number;
  readonly slots: number;
  readonly maxWaiting: number;
  readonly prefillTokensPerSecond: number;
  readonly findCachedTokens: (generation: Generation) => number;
  readonly onPrefilled: (generation: Generation) => void;
  readonly onProduced: (generation: Generation, tokens: number) => void;
  /** The generation left its slot, finished or stopped. */
  readonly onEnded: (generation: Generation) => void;
}

export interface Scheduler {
  /** False when the waiting queue is full. */
  readonly addGeneration: (generation: Generation) => boolean;
  readonly listGenerations: () => readonly Generation[];
  readonly getLoad: () => { readonly running: number; readonly waiting: number };
  /** Steps take so many times longer. */
  readonly setSlowness: (factor: number) => void;
  /** No step is made until it is set back. */
  readonly setPaused: (paused: boolean) => void;
  /** Forgets everything without telling anyone. */
  readonly clear: () => void;
}

const MS_PER_SECOND = 1_000;

export function createScheduler(options: SchedulerOptions): Scheduler {
  const { slots, maxWaiting } = options;
  const running = new Set<Generation>();
  let waiting: Generation[] = [];
  let slowness = 1;
  let paused = false;
  let timer: NodeJS.Timeout | undefined;
  let dueMs = 0;

  function startWaiting(): void {
    while (running.size < slots && waiting.length > 0) {
      const generation = takeFirst();
      if (generation.getState() === 'waiting') {
        generation.start(options.findCachedTokens(generation));
        running.add(generation);
      } else options.onEnded(generation);
    }
  }

  /** A lower number is served first, as in the published engines; equals in order of arrival. */
  function takeFirst(): Generation {
    const best = Math.min(...waiting.map((generation) => generation.priority));
    const index = waiting.findIndex((generation) => generation.priority === best);
    return waiting.splice(index, 1)[0] as Generation;
  }

  function runGeneration(generation: Generation, prefillBudget: number): number {
    if (!generation.isPrefilled()) {
      const used = generation.runPrefill(prefillBudget);
      if (generation.isPrefilled()) options.onPrefilled(generation);
      return used;
    }
    if (!generation.isBlocked()) {
      const tokens = generation.runStep();
      options.onProduced(generation, tokens);
    }
    return 0;
  }

  function runStep(): void {
    startWaiting();
    let budget = Math.ceil((options.prefillTokensPerSecond * options.stepMs) / MS_PER_SECOND);
    for (const generation of running) {
      if (paused) return;
      if (generation.getState() === 'running') budget -= runGeneration(generation, budget);
      if (generation.getState() !== 'running') removeGeneration(generation);
    }
  }

  function removeGeneration(generation: Generation): void {
    running.delete(generation);
    options.onEnded(generation);
  }

  function handleTimer(): void {
    timer = undefined;
    runStep();
    startTimer();
  }

  /** Keeps the rate over many steps even when single timers fire late. */
  function startTimer(): void {
    const isIdle = running.size === 0 && waiting.length === 0;
    if (paused || isIdle || timer !== undefined) return;
    const periodMs = options.stepMs * slowness;
    const nowMs = performance.now();
    dueMs = Math.max(dueMs + periodMs, nowMs);
    if (dueMs > nowMs + periodMs) dueMs = nowMs + periodMs;
    timer = setTimeout(handleTimer, dueMs - nowMs);
  }

  function stopTimer(): void {
    clearTimeout(timer);
    timer = undefined;
  }

  return {
    addGeneration(generation) {
      const queued = waiting.filter((other) => other.getState() === 'waiting');
      if (running.size >= slots && queued.length >= maxWaiting) return false;
      waiting.push(generation);
      if (running.size < slots) startWaiting();
      startTimer();
      return true;
    },
    listGenerations: () => [...running, ...waiting],
    getLoad: () => ({
      running: running.size,
      waiting: waiting.filter((generation) => generation.getState() === 'waiting').length,
    }),
    setSlowness(factor) {
      slowness = factor;
      stopTimer();
      startTimer();
    },
    setPaused(value) {
      paused = value;
      if (paused) stopTimer();
      else startTimer();
    },
    clear() {
      stopTimer();
      running.clear();
      waiting = [];
    },
  };
}
