/** Settings of the `[orders]` section. */
import * as Zod from 'zod';

const BYTES_PER_MB = 1_048_576;

const countSchema = Zod.coerce.number().int('use a whole number').min(1, 'use 1 or more');

export const settingsSchema = Zod.strictObject({
  /** Timeout for opening a connection to a target, in milliseconds. */
  connectTimeoutMs: countSchema.default(1_000),
  /** Maximum size of a service's answer; a larger one is not forwarded to the caller. */
  maxAnswerBytes: countSchema.default(8 * BYTES_PER_MB),
  /** Maximum number of in-flight orders per target; a target that has reached it is skipped. */
  maxInFlightPerTarget: countSchema.default(128),
  /** How long a target is skipped after a failed connection, in milliseconds. */
  passOverMs: countSchema.default(2_000),
  /** Long-term limit on retries, as a share of first attempts. */
  retryRatio: Zod.coerce.number().min(0).max(1).default(0.1),
  /** How long a router collects claims into one transaction, in milliseconds. */
  claimWindowMs: countSchema.default(3),
  /** Maximum calls to the platform per second for claims and results. */
  maxClaimCallsPerSecond: Zod.coerce.number().positive('use a number above 0').default(30),
  /** How long a result waits to share a transaction with claims, in milliseconds at most. */
  resultDelayMs: countSchema.default(50),
  /** Minimum time for which a claim and its answer are stored, in seconds. */
  claimSeconds: countSchema.default(86_400),
  /** Prefix of the claims' keys in the platform's key-value service. */
  claimPrefix: Zod.string().min(1).default('claims/'),
});

export type OrdersSettings = Readonly<Zod.infer<typeof settingsSchema>>;
