/** Reads the load that an engine reports. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

import type { EnginePool } from './enginePools';

const HTTP_OK = 200;
/** A report has about a hundred bytes. */
const MAX_REPORT_BYTES = 65_536;

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
  const text = await Kernel.readBoundedText(response.body, MAX_REPORT_BYTES);
  if (text === undefined) return undefined;
  const load = loadSchema.safeParse(JSON.parse(text));
  return load.success ? load.data : undefined;
}
