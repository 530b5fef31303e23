/** Section `[forwarding]`. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** `IP:port` for callers. */
  listen: Kernel.addressSchema,
  /** `IP:port` for readiness checks. */
  readinessListen: Kernel.addressSchema,
  /** Time between SIGTERM and the end of the process. */
  graceSeconds: Zod.coerce.number().min(0.5).default(8),
  /** Share of a service's requests that may be sent a second time, over all routers. */
  repeatRatio: Zod.coerce.number().min(0).default(0.8),
  /** Repeats over all routers that need no requests beside them, in one window. */
  repeatSlack: Zod.coerce.number().min(0).default(150),
  /** The window in which repeats are held against requests. */
  repeatWindowSeconds: Zod.coerce.number().min(1).default(10),
});

export type ForwardingSettings = Readonly<Zod.infer<typeof settingsSchema>>;
