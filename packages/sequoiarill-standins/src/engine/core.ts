/**
 * The engine without its HTTP interface: combines scheduler, prefix cache, fencing and generations.
 */
import * as CacheEvents from './cacheEvents';
import * as Counters from './counters';
import * as Errors from './errors';
import * as Fencing from './fencing';
import * as Generations from './generation';
import type { Generation } from './generation';
import * as Models from './models';
import * as PrefixCaches from './prefixCache';
import * as Registries from './registry';
import type { CompletionRequest } from './requests';
import * as Schedulers from './scheduler';
import type { EngineSettings } from './settings';

export type StartResult =
  | { readonly kind: 'started'; readonly generation: Generation }
  | { readonly kind: 'refused'; readonly error: Errors.EngineError };

export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly draining: boolean;
  /** Increases with each start; the state of an earlier incarnation is lost. */
  readonly incarnation: number;
}

export interface EngineCore {
  readonly settings: EngineSettings;
  readonly counters: Counters.EngineCounterSet;
  readonly cacheEvents: CacheEvents.CacheEventLog;
  readonly models: Models.ModelSet;
  readonly registry: Registries.GenerationRegistry;
  readonly scheduler: Schedulers.Scheduler;
  readonly startGeneration: (
    requestId: string,
    fencingNumber: number,
    request: CompletionRequest,
  ) => StartResult;
  /**
   * Returns the error to respond with if the engine checks fencing numbers and this one is stale.
   */
  readonly checkFencing: (key: string, fencingNumber: number) => Errors.EngineError | undefined;
  readonly isDraining: () => boolean;
  readonly setDraining: (draining: boolean) => void;
  readonly getLoad: () => EngineLoad;
  /** Discards all state and starts a new incarnation. */
  readonly clear: () => void;
}

export function createEngineCore(
  settings: EngineSettings,
  onTokens: (generation: Generation) => void,
): EngineCore {
  const counters = Counters.createEngineCounters();
  const fencing = Fencing.createFencingRecord();
  const models = Models.createModelSet(settings.models, settings.loadMs);
  const cacheEvents = CacheEvents.createCacheEventLog(
    settings.cacheEventDelayMs,
    settings.cacheEventGapEvery,
  );
  const cache = PrefixCaches.createPrefixCache(settings.cacheTokens, cacheEvents);
  let draining = false;
  let incarnation = Date.now();

  const scheduler = Schedulers.createScheduler({
    ...settings,
    findCachedTokens(generation) {
      const { model, promptIds } = generation;
      const cached = cache.findCachedTokens(model.model, promptIds);
      counters.addCount('prefillCached', cached);
      counters.addCount('tokensPrefilled', promptIds.length - cached);
      return cached;
    },
    onPrefilled: (generation) => cache.addSequence(generation.model.model, generation.promptIds),
    onProduced(generation, tokens) {
      counters.addCount('tokensGenerated', tokens);
      onTokens(generation);
    },
    onEnded(generation) {
      const ids = [...generation.promptIds, ...generation.getOutputIds()];
      if (generation.isPrefilled()) cache.addSequence(generation.model.model, ids);
      registry.handleEnded(generation);
    },
  });
  const registry = Registries.createGenerationRegistry({
    scheduler,
    holdMs: settings.holdMs,
    onAbandoned: () => counters.addCount('abandoned'),
  });

  function checkFencing(key: string, fencingNumber: number): Errors.EngineError | undefined {
    if (!settings.checksFencing) return undefined;
    const result = fencing.checkNumber(key, fencingNumber);
    if (result === 'newer') registry.stopOlder(key, fencingNumber);
    if (result !== 'stale') return undefined;
    counters.addCount('staleRefused');
    return Errors.buildStaleFencing(key);
  }

  function findRefusal(request: CompletionRequest): Errors.EngineError | undefined {
    if (!models.hasModel(request.model)) return Errors.buildModelNotFound(request.model);
    const requestedTokens = request.promptIds.length + (request.maxTokens ?? 1);
    if (requestedTokens > settings.contextTokens) {
      return Errors.buildContextExceeded(settings.contextTokens, requestedTokens);
    }
    return draining ? Errors.buildOverloaded('it is draining') : undefined;
  }

  function startGeneration(
    requestId: string,
    fencingNumber: number,
    request: CompletionRequest,
  ): StartResult {
    counters.addCount('requests');
    const error = checkFencing(requestId, fencingNumber) ?? findRefusal(request);
    if (error !== undefined) return { kind: 'refused', error };
    const generation = Generations.createGeneration({
      requestId,
      fencingNumber,
      priority: request.priority,
      model: {
        model: request.model,
        seed: settings.seed,
        endProbability: request.ignoresEnd ? 0 : settings.eosProbability,
      },
      promptIds: request.promptIds,
      maxTokens: request.maxTokens ?? settings.contextTokens - request.promptIds.length,
    });
    if (registry.addGeneration(generation)) return { kind: 'started', generation };
    return { kind: 'refused', error: Errors.buildOverloaded('its waiting queue is full') };
  }

  return {
    settings,
    counters,
    cacheEvents,
    models,
    registry,
    scheduler,
    startGeneration,
    checkFencing,
    isDraining: () => draining,
    setDraining(value) {
      draining = value;
    },
    getLoad: () => ({ ...scheduler.getLoad(), slots: settings.slots, draining, incarnation }),
    clear() {
      registry.clear();
      scheduler.clear();
      fencing.clear();
      models.clear();
      cache.clear();
      cacheEvents.recordCleared();
      draining = false;
      incarnation += 1;
    },
  };
}
