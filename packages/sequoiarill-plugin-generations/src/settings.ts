/** The `[generations]` section of the settings. */
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** Connect timeout. A reachable engine in the region accepts within a few milliseconds. */
  connectTimeoutMs: Zod.coerce.number().int().min(10).max(5_000).default(300),
  /** Maximum connections to one engine; each stream uses one. */
  maxConnectionsPerEngine: Zod.coerce.number().int().min(1).max(4_096).default(512),
  /** Engines of one model in the local zone that this router uses; a quarter more elsewhere. */
  targetsPerModel: Zod.coerce.number().int().min(2).max(4_096).default(32),
  /** Longest wait in the queue before a refusal; docs/design/0003 explains the default. */
  maxQueueMs: Zod.coerce.number().int().min(1).max(60_000).default(400),
});

export type GenerationsSettings = Readonly<Zod.infer<typeof settingsSchema>>;
