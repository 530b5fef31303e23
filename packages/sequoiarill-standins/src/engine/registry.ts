/** The generations of an engine by request id: fencing, resuming, cancelling and forgetting. */
import type { Generation, GenerationStream } from './generation';
import type { Scheduler } from './scheduler';

export interface RegistryOptions {
  readonly scheduler: Scheduler;
  readonly holdMs: number;
  /** Nobody came back for a generation in time, and it was ended. */
  readonly onAbandoned: (generation: Generation) => void;
}

export interface GenerationRegistry {
  /** False when the engine takes no more. */
  readonly addGeneration: (generation: Generation) => boolean;
  readonly findGeneration: (requestId: string) => Generation | undefined;
  /** Ends all of the request that carry a lower fencing number. */
  readonly stopOlder: (requestId: string, fencingNumber: number) => void;
  /** Ends all of the request; returns how many tokens the newest had, or `undefined`. */
  readonly cancelRequest: (requestId: string) => number | undefined;
  readonly addStream: (
    generation: Generation,
    stream: GenerationStream,
    startingAfter: number,
  ) => void;
  /** The reader has gone; the generation goes on for a while. */
  readonly removeStream: (generation: Generation, stream: GenerationStream) => void;
  /** To be called when a generation left its slot. */
  readonly handleEnded: (generation: Generation) => void;
  readonly clear: () => void;
}

export function createGenerationRegistry(options: RegistryOptions): GenerationRegistry {
  const { scheduler, holdMs } = options;
  const newest = new Map<string, Generation>();
  const timers = new Map<Generation, NodeJS.Timeout>();

  function stopTimer(generation: Generation): void {
    clearTimeout(timers.get(generation));
    timers.delete(generation);
  }

  function removeGeneration(generation: Generation): void {
    timers.delete(generation);
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
    timers.set(generation, timer);
  }

  function listOfRequest(requestId: string): readonly Generation[] {
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
      for (const generation of listOfRequest(requestId)) {
        if (generation.fencingNumber < fencingNumber) generation.stop();
      }
    },
    cancelRequest(requestId) {
      const generation = newest.get(requestId);
      for (const other of listOfRequest(requestId)) other.stop();
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
      for (const timer of timers.values()) clearTimeout(timer);
      timers.clear();
      newest.clear();
    },
  };
}
