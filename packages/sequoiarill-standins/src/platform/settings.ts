/** Settings of the platform stand-in; every one has a default. */
import * as Zod from 'zod';

import * as SharedSettings from '../shared/settings';

export const platformSettingsSchema = Zod.strictObject({
  listen: SharedSettings.listenSchema,
  /** Size of one value, in bytes. */
  maxValueBytes: SharedSettings.createCountSchema(1, 1_048_576),
  /** Size of one request, in bytes. */
  maxRequestBytes: SharedSettings.createCountSchema(1, 1_572_864),
  /** Operations in one transaction. */
  maxTransactionOperations: SharedSettings.createCountSchema(1, 128),
  /** Revisions that a watch can go back; older ones are compacted. */
  historyRevisions: SharedSettings.createCountSchema(1, 10_000),
  /** Time between the progress lines of a watch that asked for them, in milliseconds. */
  progressMs: SharedSettings.createCountSchema(1, 600_000),
  /** How often leases are looked through for expired ones, in milliseconds. */
  leaseCheckMs: SharedSettings.createCountSchema(1, 50),
});

export type PlatformSettings = Readonly<Zod.infer<typeof platformSettingsSchema>>;
export type PlatformSettingsInput = Readonly<Zod.input<typeof platformSettingsSchema>>;

/** Time as an argument: leases expire by it. */
export interface PlatformClock {
  /** Monotonic, milliseconds. */
  readonly getNowMs: () => number;
}
