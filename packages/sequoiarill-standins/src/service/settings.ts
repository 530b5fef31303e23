/** Settings of the plain service stand-in; each has a default. */
import * as Zod from 'zod';

import * as SharedSettings from '../shared/settings';

export const serviceSettingsSchema = Zod.strictObject({
  listen: SharedSettings.listenSchema,
  /** Whether a repeated `Idempotency-Key` gets the first answer again instead of a second run. */
  checksIdempotencyKey: SharedSettings.flagSchema,
  /** Time that each answer takes, in milliseconds. */
  answerMs: SharedSettings.createCountSchema(0, 0),
});

export type ServiceSettings = Readonly<Zod.infer<typeof serviceSettingsSchema>>;
export type ServiceSettingsInput = Readonly<Zod.input<typeof serviceSettingsSchema>>;
