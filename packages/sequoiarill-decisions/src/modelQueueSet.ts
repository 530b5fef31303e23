/** The lanes of a router, one for each model, made when a model is first asked for. */
import type { ConcurrencyLimit } from './concurrencyLimit';
import * as ModelQueues from './modelQueue';

export interface ModelQueueSet {
  readonly getModelQueue: (model: string) => ModelQueues.ModelQueue;
  readonly listModelQueues: () => readonly ModelQueues.ModelQueue[];
  /** Over all lanes; nothing when nobody waits. */
  readonly getNextDeadlineMs: () => number | undefined;
}

export function createModelQueueSet(
  createLimit: (model: string) => ConcurrencyLimit,
): ModelQueueSet {
  const modelQueues = new Map<string, ModelQueues.ModelQueue>();

  function getLane(model: string): ModelQueues.ModelQueue {
    const known = modelQueues.get(model);
    if (known !== undefined) return known;
    const created = ModelQueues.createModelQueue(model, createLimit(model));
    modelQueues.set(model, created);
    return created;
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
    getModelQueue: getLane,
    getNextDeadlineMs,
    listModelQueues: () => [...modelQueues.values()],
  };
}
