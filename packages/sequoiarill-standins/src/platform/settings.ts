/** Settings of the platform stand-in; each has a default. */
import * as Zod from 'zod';

import * as SharedSettings from '../shared/settings';

export const platformSettingsSchema = Zod.strictObject({
  listen: SharedSettings.listenSchema,
  /** Largest value, in bytes. */
  maxValueBytes: SharedSettings.createCountSchema(1, 1_048_576),
  /** Largest request, in bytes. */
  maxRequestBytes: SharedSettings.createCountSchema(1, 1_572_864),
  /** Most operations in one branch of a transaction, and most comparisons. */
  maxTransactionOperations: SharedSettings.createCountSchema(1, 128),
  /** Revisions from which a watch can still start; older ones are compacted. */
  historyRevisions: SharedSettings.createCountSchema(1, 10_000),
  /** Interval of the progress notifications of a watch that requested them, in milliseconds. */
  progressMs: SharedSettings.createCountSchema(1, 600_000),
  /** Interval at which expired leases are removed, in milliseconds. */
  leaseCheckMs: SharedSettings.createCountSchema(1, 50),
});

export type PlatformSettings = Readonly<Zod.infer<typeof platformSettingsSchema>>;
export type PlatformSettingsInput = Readonly<Zod.input<typeof platformSettingsSchema>>;

/** The clock by which leases expire; passed in so that tests can control it. */
export interface PlatformClock {
  /** Monotonic, milliseconds. */
  readonly getNowMs: () => number;
}
