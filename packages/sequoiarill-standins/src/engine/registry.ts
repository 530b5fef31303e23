/**
 * The generations of an engine by request id: stops, cancels and resumes them, and removes unread
 * ones.
 */
import type { Generation, GenerationStream } from './generation';
import type { Scheduler } from './scheduler';

export interface RegistryOptions {
  readonly scheduler: Scheduler;
  readonly holdMs: number;
  /** Called when a generation was ended because no reader reconnected in time. */
  readonly onAbandoned: (generation: Generation) => void;
}

export interface GenerationRegistry {
  /** Returns false if the engine accepts no more generations. */
  readonly addGeneration: (generation: Generation) => boolean;
  readonly findGeneration: (requestId: string) => Generation | undefined;
  /** Stops all generations of the request that have a lower fencing number. */
  readonly stopOlder: (requestId: string, fencingNumber: number) => void;
  /**
   * Stops all generations of the request; returns the output tokens of the newest, `undefined` if
   * there is none.
   */
  readonly cancelRequest: (requestId: string) => number | undefined;
  readonly addStream: (
    generation: Generation,
    stream: GenerationStream,
    startingAfter: number,
  ) => void;
  /** Removes a reader that disconnected; without readers, the generation continues for `holdMs`. */
  readonly removeStream: (generation: Generation, stream: GenerationStream) => void;
  /** Must be called when a generation has left its slot. */
  readonly handleEnded: (generation: Generation) => void;
  readonly clear: () => void;
}

export function createGenerationRegistry(options: RegistryOptions): GenerationRegistry {
  const { scheduler, holdMs } = options;
  /** Newest generation of each request. */
  const newest = new Map<string, Generation>();
  /** Timers that remove generations without readers. */
  const removalTimers = new Map<Generation, NodeJS.Timeout>();

  function stopTimer(generation: Generation): void {
    clearTimeout(removalTimers.get(generation));
    removalTimers.delete(generation);
  }

  function removeGeneration(generation: Generation): void {
    removalTimers.delete(generation);
    if (newest.get(generation.requestId) === generation) newest.delete(generation.requestId);
    if (generation.getState() === 'running' || generation.getState() === 'waiting') {
      generation.stop();
      options.onAbandoned(generation);
    }
  }

  function startTimer(generation: Generation): void {
    stopTimer(generation);
    const timer = setTimeout(() => removeGeneration(generation), holdMs);
    timer.unref();
    removalTimers.set(generation, timer);
  }

  function listByRequest(requestId: string): readonly Generation[] {
    const all = scheduler.listGenerations();
    return all.filter((generation) => generation.requestId === requestId);
  }

  return {
    addGeneration(generation) {
      if (!scheduler.addGeneration(generation)) return false;
      newest.set(generation.requestId, generation);
      return true;
    },
    findGeneration: (requestId) => newest.get(requestId),
    stopOlder(requestId, fencingNumber) {
      for (const generation of listByRequest(requestId)) {
        if (generation.fencingNumber < fencingNumber) generation.stop();
      }
    },
    cancelRequest(requestId) {
      const generation = newest.get(requestId);
      for (const other of listByRequest(requestId)) other.stop();
      return generation?.getOutputIds().length;
    },
    addStream(generation, stream, startingAfter) {
      stopTimer(generation);
      generation.addStream(stream, startingAfter);
      if (!generation.hasStreams()) startTimer(generation);
    },
    removeStream(generation, stream) {
      generation.removeStream(stream);
      if (!generation.hasStreams() && generation.getState() !== 'stopped') startTimer(generation);
    },
    handleEnded: startTimer,
    clear() {
      for (const generation of scheduler.listGenerations()) generation.stop();
      for (const timer of removalTimers.values()) clearTimeout(timer);
      removalTimers.clear();
      newest.clear();
    },
  };
}
