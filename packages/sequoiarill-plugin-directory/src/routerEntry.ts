/** Entry that a router writes into the store, so that others find it. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const entrySchema = Zod.object({
  /** `IP:port` for other routers. */
  address: Kernel.addressSchema,
  zone: Zod.string().min(1),
});

export type RouterEntry = Readonly<Zod.infer<typeof entrySchema>>;

export function encodeRouter(entry: RouterEntry): string {
  return JSON.stringify(entry);
}

/** Returns undefined for text that is not a router entry. */
export function decodeRouter(text: string): RouterEntry | undefined {
  try {
    const parsed = entrySchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
