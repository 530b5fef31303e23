/** Which models an engine has loaded, and the orders that change it. */
import * as Waiting from '../shared/waiting';

export interface ModelSet {
  readonly hasModel: (model: string) => boolean;
  readonly listModels: () => readonly string[];
  /** Ends when the model is there, after the time that loading takes. */
  readonly loadModel: (model: string) => Promise<void>;
  readonly removeModel: (model: string) => Promise<void>;
  /** As at the start of the process. */
  readonly clear: () => void;
}

export function createModelSet(initial: readonly string[], loadMs: number): ModelSet {
  const loaded = new Set(initial);
  return {
    hasModel: (model) => loaded.has(model),
    listModels: () => [...loaded],
    async loadModel(model) {
      if (loaded.has(model)) return;
      await Waiting.waitMs(loadMs);
      loaded.add(model);
    },
    async removeModel(model) {
      if (!loaded.delete(model)) return;
      await Waiting.waitMs(loadMs);
    },
    clear() {
      loaded.clear();
      for (const model of initial) loaded.add(model);
    },
  };
}
