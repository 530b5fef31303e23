/** Section `[platform]` of a router's settings. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const MAX_CALL_TIMEOUT_MS = 60_000;
const DEFAULT_START_WAIT_MS = 1_000;

const endpointsSchema = Kernel.listSchema.pipe(
  Zod.array(Kernel.addressSchema).min(1, 'name at least one IP:port of the key-value service'),
);

export const platformSchema = Zod.strictObject({
  /** `IP:port` of each gateway of the key-value service, separated by commas. */
  endpoints: endpointsSchema,
  /** All keys lie below it. */
  keyPrefix: Zod.string().min(1).default('/sequoiarill/'),
  /** Time for one call, in milliseconds. */
  callTimeoutMs: Zod.coerce
    .number()
    .int()
    .min(1)
    .max(MAX_CALL_TIMEOUT_MS)
    .default(DEFAULT_CALL_TIMEOUT_MS),
  /** `auto`: one router of a zone reads for all; `always`: each router reads for itself. */
  reader: Zod.enum(['auto', 'always']).default('auto'),
  /** How long a start waits for the first configuration, in milliseconds. */
  startWaitMs: Zod.coerce.number().int().min(0).default(DEFAULT_START_WAIT_MS),
  username: Zod.string().min(1).optional(),
  /** File that holds the password and nothing else; read once, at start. */
  passwordFile: Zod.string().min(1).optional(),
});

export type PlatformSettings = Readonly<Zod.infer<typeof platformSchema>>;
