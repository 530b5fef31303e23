/** Settings of the model engine stand-in; every one has a default. */
import * as Zod from 'zod';

import * as SharedSettings from '../shared/settings';

const DEFAULT_END_PROBABILITY = 1 / 400;

export const engineSettingsSchema = Zod.strictObject({
  listen: SharedSettings.listenSchema,
  /** Models loaded at the start. */
  models: SharedSettings.listSchema.default(['standin-model']),
  /** One for all engines that shall generate the same tokens. */
  seed: SharedSettings.createCountSchema(0, 1),
  /** Chance that an answer ends at a token; 0 for never. */
  eosProbability: Zod.coerce.number<number>().min(0).max(1).default(DEFAULT_END_PROBABILITY),
  /** Prompt and output together, in tokens. */
  contextTokens: SharedSettings.createCountSchema(1, 131_072),
  /** Time between two tokens of a stream, in milliseconds. */
  stepMs: SharedSettings.createCountSchema(1, 20),
  /** Generations that run at once. */
  slots: SharedSettings.createCountSchema(1, 64),
  /** Generations that wait for a slot; more are answered 503. */
  maxWaiting: SharedSettings.createCountSchema(0, 256),
  prefillTokensPerSecond: SharedSettings.createCountSchema(1, 200_000),
  /** Limit of the prefix cache, in tokens. */
  cacheTokens: SharedSettings.createCountSchema(0, 1_000_000),
  /** Time until cache events are shown, in milliseconds. */
  cacheEventDelayMs: SharedSettings.createCountSchema(0, 500),
  /** Every so-manieth cache event is never shown; 0 for none. */
  cacheEventGapEvery: SharedSettings.createCountSchema(0, 0),
  /** Age of what `GET /load` tells, in milliseconds. */
  loadLagMs: SharedSettings.createCountSchema(0, 500),
  /** How long a generation goes on or is kept without a reader, in milliseconds. */
  holdMs: SharedSettings.createCountSchema(0, 5_000),
  /** Time to load or unload a model, in milliseconds. */
  loadMs: SharedSettings.createCountSchema(0, 200),
  /** Whether orders with an old `x-fencing-number` are refused. */
  checksFencing: SharedSettings.flagSchema,
});

export type EngineSettings = Readonly<Zod.infer<typeof engineSettingsSchema>>;
export type EngineSettingsInput = Readonly<Zod.input<typeof engineSettingsSchema>>;
