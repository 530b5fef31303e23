/** The models that an engine has loaded, and the commands that load and unload them. */
import * as Waiting from '../shared/waiting';

export interface ModelSet {
  readonly hasModel: (model: string) => boolean;
  readonly listModels: () => readonly string[];
  /** Resolves once the model is loaded. */
  readonly loadModel: (model: string) => Promise<void>;
  readonly removeModel: (model: string) => Promise<void>;
  /** Restores the models that were loaded at the start of the process. */
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
