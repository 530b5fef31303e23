/** Settings of the model engine stand-in; each has a default. */
import * as Zod from 'zod';

import * as SharedSettings from '../shared/settings';

const DEFAULT_END_PROBABILITY = 1 / 400;

export const engineSettingsSchema = Zod.strictObject({
  listen: SharedSettings.listenSchema,
  /** Models loaded at the start. */
  models: SharedSettings.listSchema.default(['standin-model']),
  /** Engines with the same seed and model name generate the same tokens. */
  seed: SharedSettings.createCountSchema(0, 1),
  /** Probability that an answer ends at any given token; 0 disables it. */
  eosProbability: Zod.coerce.number<number>().min(0).max(1).default(DEFAULT_END_PROBABILITY),
  /** Limit of prompt and output together, in tokens. */
  contextTokens: SharedSettings.createCountSchema(1, 131_072),
  /** Time between two tokens of a stream, in milliseconds. */
  stepMs: SharedSettings.createCountSchema(1, 20),
  /** Generations that run concurrently. */
  slots: SharedSettings.createCountSchema(1, 64),
  /** Generations that may wait for a slot; further ones are refused with 503. */
  maxWaiting: SharedSettings.createCountSchema(0, 256),
  prefillTokensPerSecond: SharedSettings.createCountSchema(1, 200_000),
  /** Capacity of the prefix cache, in tokens. */
  cacheTokens: SharedSettings.createCountSchema(0, 1_000_000),
  /** Delay until cache events are published, in milliseconds. */
  cacheEventDelayMs: SharedSettings.createCountSchema(0, 500),
  /** With the value n, every n-th cache event is never published; 0 disables the gaps. */
  cacheEventGapEvery: SharedSettings.createCountSchema(0, 0),
  /**
   * Interval at which the load reported by `GET /load` is updated, in milliseconds; 0 reports the
   * current load.
   */
  loadLagMs: SharedSettings.createCountSchema(0, 500),
  /**
   * How long a generation without a reader continues or, once finished, can be resumed, in
   * milliseconds.
   */
  holdMs: SharedSettings.createCountSchema(0, 5_000),
  /** Time to load or unload a model, in milliseconds. */
  loadMs: SharedSettings.createCountSchema(0, 200),
  /** Whether requests and commands with a stale `x-fencing-number` are refused. */
  checksFencing: SharedSettings.flagSchema,
});

export type EngineSettings = Readonly<Zod.infer<typeof engineSettingsSchema>>;
export type EngineSettingsInput = Readonly<Zod.input<typeof engineSettingsSchema>>;
