/** The `[generations]` section of the settings. */
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** Time to open a connection to an engine. A live one in the region answers in a few ms. */
  connectTimeoutMs: Zod.coerce.number().int().min(10).max(5_000).default(300),
  /** Connections, and so streams, to one engine. */
  maxConnectionsPerEngine: Zod.coerce.number().int().min(1).max(4_096).default(512),
  /** Engines of one model in the own zone that this router uses; a quarter more in other zones. */
  targetsPerModel: Zod.coerce.number().int().min(2).max(4_096).default(32),
  /** Longest wait in the queue before a refusal; the default is that of docs/design/0003. */
  maxQueueMs: Zod.coerce.number().int().min(1).max(60_000).default(400),
});

export type GenerationsSettings = Readonly<Zod.infer<typeof settingsSchema>>;
