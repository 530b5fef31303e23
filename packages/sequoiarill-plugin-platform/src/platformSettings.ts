/** Section `[platform]` of a router's settings. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const MAX_CALL_TIMEOUT_MS = 60_000;
const DEFAULT_START_WAIT_MS = 1_000;

const endpointsSchema = Kernel.listSchema.pipe(
  Zod.array(Kernel.addressSchema).min(1, 'set at least one IP:port of the key-value service'),
);

export const platformSchema = Zod.strictObject({
  /** `IP:port` of each gateway of the key-value service, separated by commas. */
  endpoints: endpointsSchema,
  /** Prefix of all keys of this installation. */
  keyPrefix: Zod.string().min(1).default('/sequoiarill/'),
  /** Timeout of one call, in milliseconds. */
  callTimeoutMs: Zod.coerce
    .number()
    .int()
    .min(1)
    .max(MAX_CALL_TIMEOUT_MS)
    .default(DEFAULT_CALL_TIMEOUT_MS),
  /**
   * `auto`: one router per zone reads for all its peers; `always`: every router reads for itself.
   */
  reader: Zod.enum(['auto', 'always']).default('auto'),
  /** Longest time that a start waits for the first configuration, in milliseconds. */
  startWaitMs: Zod.coerce.number().int().min(0).default(DEFAULT_START_WAIT_MS),
  username: Zod.string().min(1).optional(),
  /** File that contains only the password. It is read once, at start. */
  passwordFile: Zod.string().min(1).optional(),
});

export type PlatformSettings = Readonly<Zod.infer<typeof platformSchema>>;
