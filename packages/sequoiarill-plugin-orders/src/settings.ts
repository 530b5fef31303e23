/** Settings of the `[orders]` section. */
import * as Zod from 'zod';

const BYTES_PER_MB = 1_048_576;

const countSchema = Zod.coerce.number().int('use a whole number').min(1, 'use 1 or more');

export const settingsSchema = Zod.strictObject({
  /** Time to open a connection to a target, in milliseconds. */
  connectTimeoutMs: countSchema.default(1_000),
  /** A larger answer of a service is not passed on. */
  maxAnswerBytes: countSchema.default(8 * BYTES_PER_MB),
  /** Orders in progress at one target; above it, targets are passed over. */
  maxInFlightPerTarget: countSchema.default(128),
  /** A target that refused a connection gets no order for so many milliseconds. */
  passOverMs: countSchema.default(2_000),
  /** Second sendings allowed per first one, over the long run. */
  retryRatio: Zod.coerce.number().min(0).max(1).default(0.1),
  /** Claims of one router are gathered for so many milliseconds. */
  claimWindowMs: countSchema.default(3),
  /** Calls of the platform for claims and results, at most so many a second. */
  maxClaimCallsPerSecond: Zod.coerce.number().positive('use a number above 0').default(30),
  /** Results wait for the next claims to go with, at most so many milliseconds. */
  resultDelayMs: countSchema.default(50),
  /** A claim and its answer are kept for at least so many seconds. */
  claimSeconds: countSchema.default(86_400),
  /** Keys of claims in the platform's service begin with this. */
  claimPrefix: Zod.string().min(1).default('claims/'),
});

export type OrdersSettings = Readonly<Zod.infer<typeof settingsSchema>>;
