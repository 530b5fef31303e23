/** Section `[forwarding]`. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** `IP:port` on which callers connect. */
  listen: Kernel.addressSchema,
  /** `IP:port` on which readiness checks are served. */
  readinessListen: Kernel.addressSchema,
  /** `IP:port` on which other routers send requests of their callers; if absent, none are taken. */
  relayListen: Kernel.addressSchema.optional(),
  /** Time from SIGTERM to the exit of the process. */
  graceSeconds: Zod.coerce.number().min(0.5).default(8),
  /** Retry budget of a service: retries per request, over all routers. */
  repeatRatio: Zod.coerce.number().min(0).default(0.8),
  /** Retries per window, over all routers, that are allowed regardless of the number of requests. */
  repeatSlack: Zod.coerce.number().min(0).default(150),
  /** Length of the window in which retries are compared with requests. */
  repeatWindowSeconds: Zod.coerce.number().min(1).default(10),
  /**
   * Bytes that the process holds for slow callers; if absent, a quarter of `[process] memoryMb`, or 32 MB
   * where that is absent too.
   */
  heldMegabytes: Kernel.megabytesSchema,
  /**
   * Connections of callers, and half as many of other routers, beyond which those without a request for longest are closed;
   * if absent, two fifths of `[process] maxDescriptors`, or 2,048 where that is absent too.
   */
  maxConnections: Kernel.countSchema,
});

export type ForwardingSettings = Readonly<Zod.infer<typeof settingsSchema>>;
