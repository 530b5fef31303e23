/** Entry that a router writes into the store, so that others find it. */
import * as Kernel from '@sequoiarill/kernel';
import type { RouterLocation } from '@sequoiarill/types';
import * as Zod from 'zod';

const entrySchema = Zod.object({
  /** `IP:port` for other routers. */
  address: Kernel.addressSchema,
  zone: Zod.string().min(1),
  /** `IP:port` for requests of other routers' callers; routers that take none write none. */
  relayAddress: Kernel.addressSchema.optional(),
});

export type RouterEntry = RouterLocation;

export function encodeRouter(entry: RouterEntry): string {
  return JSON.stringify(entry);
}

/** Returns undefined for text that is not a router entry. */
export function decodeRouter(text: string): RouterEntry | undefined {
  try {
    const parsed = entrySchema.safeParse(JSON.parse(text));
    if (!parsed.success) return undefined;
    const { relayAddress, ...location } = parsed.data;
    return relayAddress === undefined ? location : { ...location, relayAddress };
  } catch {
    return undefined;
  }
}
