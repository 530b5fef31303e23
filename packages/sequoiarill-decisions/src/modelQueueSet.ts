/** The model queues of a router, each created when its model is first requested. */
import type { ConcurrencyLimit } from './concurrencyLimit';
import * as ModelQueues from './modelQueue';

export interface ModelQueueSet {
  readonly getModelQueue: (model: string) => ModelQueues.ModelQueue;
  readonly listModelQueues: () => readonly ModelQueues.ModelQueue[];
  /** Earliest deadline over all model queues; undefined when no request is queued. */
  readonly getNextDeadlineMs: () => number | undefined;
}

export function createModelQueueSet(
  createLimit: (model: string) => ConcurrencyLimit,
): ModelQueueSet {
  const modelQueues = new Map<string, ModelQueues.ModelQueue>();

  function getModelQueue(model: string): ModelQueues.ModelQueue {
    const existing = modelQueues.get(model);
    if (existing !== undefined) return existing;
    const modelQueue = ModelQueues.createModelQueue(model, createLimit(model));
    modelQueues.set(model, modelQueue);
    return modelQueue;
  }

  function getNextDeadlineMs(): number | undefined {
    let next: number | undefined;
    for (const modelQueue of modelQueues.values()) {
      const deadlineMs = modelQueue.getNextDeadlineMs();
      if (deadlineMs !== undefined) next = Math.min(next ?? deadlineMs, deadlineMs);
    }
    return next;
  }

  return {
    getModelQueue,
    getNextDeadlineMs,
    listModelQueues: () => [...modelQueues.values()],
  };
}
