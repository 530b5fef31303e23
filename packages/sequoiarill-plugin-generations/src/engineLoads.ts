/** Reads the load that an engine reports. */
import * as Zod from 'zod';

import type { EnginePool } from './enginePools';

const HTTP_OK = 200;

const loadSchema = Zod.object({
  running: Zod.number().int().min(0),
  waiting: Zod.number().int().min(0),
  draining: Zod.boolean().default(false),
});

export type EngineLoad = Readonly<Zod.infer<typeof loadSchema>>;

/** Returns undefined if the response is not a load report; rejects if there is no response. */
export async function readLoad(
  { dispatcher, origin }: EnginePool,
  signal: AbortSignal,
): Promise<EngineLoad | undefined> {
  const response = await dispatcher.request({ origin, path: '/load', method: 'GET', signal });
  if (response.statusCode !== HTTP_OK) {
    await response.body.dump();
    return undefined;
  }
  const load = loadSchema.safeParse(await response.body.json());
  return load.success ? load.data : undefined;
}
