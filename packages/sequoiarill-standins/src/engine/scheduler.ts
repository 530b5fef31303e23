/**
 * Continuous batching: one timer steps all running generations together.
 *
 * Load pattern: hundreds of streams in one process. A timer for each stream would cost more than
 * producing the tokens; a single timer keeps the stand-in cheap and its streams in step, as in real
 * engines.
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
  /** Called when a generation has left its slot, finished or stopped. */
  readonly onEnded: (generation: Generation) => void;
}

export interface Scheduler {
  /** Returns false if the waiting queue is full. */
  readonly addGeneration: (generation: Generation) => boolean;
  readonly listGenerations: () => readonly Generation[];
  readonly getLoad: () => { readonly running: number; readonly waiting: number };
  /** Makes steps take `factor` times as long. */
  readonly setSlowdown: (factor: number) => void;
  /** While paused, no steps are run. */
  readonly setPaused: (paused: boolean) => void;
  /** Discards all generations without calling `onEnded`. */
  readonly clear: () => void;
}

const MS_PER_SECOND = 1_000;

export function createScheduler(options: SchedulerOptions): Scheduler {
  const { slots, maxWaiting } = options;
  const running = new Set<Generation>();
  let waiting: Generation[] = [];
  let slowdownFactor = 1;
  let paused = false;
  let timer: NodeJS.Timeout | undefined;
  let nextStepAtMs = 0;

  function startWaiting(): void {
    while (running.size < slots && waiting.length > 0) {
      const generation = takeNext();
      if (generation.getState() === 'waiting') {
        generation.start(options.findCachedTokens(generation));
        running.add(generation);
      } else options.onEnded(generation);
    }
  }

  /**
   * Takes the lowest priority number first, as published engines do, and equal ones in order of
   * arrival.
   */
  function takeNext(): Generation {
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

  /** Maintains the average rate over many steps even if single timers fire late. */
  function startTimer(): void {
    const isIdle = running.size === 0 && waiting.length === 0;
    if (paused || isIdle || timer !== undefined) return;
    const periodMs = options.stepMs * slowdownFactor;
    const nowMs = performance.now();
    nextStepAtMs = Math.max(nextStepAtMs + periodMs, nowMs);
    if (nextStepAtMs > nowMs + periodMs) nextStepAtMs = nowMs + periodMs;
    timer = setTimeout(handleTimer, nextStepAtMs - nowMs);
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
    setSlowdown(factor) {
      slowdownFactor = factor;
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
