/** Section `[rollouts]`. */
import * as Zod from 'zod';

/** An empty value means that the installation has no roll-outs. */
const optionalShare = Zod.preprocess(
  (value) => (value === '' ? undefined : value),
  Zod.coerce.number().gt(0).max(1).optional(),
);

export const settingsSchema = Zod.strictObject({
  /** Share of a service's requests that a bad version may get; without it, roll-outs are disabled. */
  canaryShare: optionalShare,
  /** Requests that a bad version may get in addition to the share. */
  canarySlack: Zod.preprocess(
    (value) => (value === '' ? undefined : value),
    Zod.coerce.number().min(0).default(0),
  ),
});

export type RolloutSettings = Readonly<Zod.infer<typeof settingsSchema>>;
