/** Section `[rollouts]`. */
import * as Zod from 'zod';

/** An installation without roll-outs leaves the key empty. */
const optionalShare = Zod.preprocess(
  (value) => (value === '' ? undefined : value),
  Zod.coerce.number().gt(0).max(1).optional(),
);

export const settingsSchema = Zod.strictObject({
  /** Share of a service's requests that a bad version may get; without it versions are not told apart. */
  canaryShare: optionalShare,
  /** Requests that a bad version may get besides. */
  canarySlack: Zod.preprocess(
    (value) => (value === '' ? undefined : value),
    Zod.coerce.number().min(0).default(0),
  ),
});

export type RolloutSettings = Readonly<Zod.infer<typeof settingsSchema>>;
