/** Settings of the plug-in `membership`. */
import { BlockList, isIPv6 } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const wildcardAddresses: ReadonlySet<string> = new Set(['0.0.0.0', '::']);
const loopbackAddresses = new BlockList();
loopbackAddresses.addSubnet('127.0.0.0', 8, 'ipv4');
loopbackAddresses.addAddress('::1', 'ipv6');

const fields = Zod.strictObject({
  /** Address of the listener for other routers; port 0 selects a free port. */
  listen: Kernel.addressSchema.default('127.0.0.1:8091'),
  /** Address at which other routers reach this one; defaults to the bound address. */
  advertise: Kernel.addressSchema.optional(),
  /** Addresses of routers to contact first, comma-separated; one that runs is sufficient. */
  seeds: Kernel.listSchema
    .refine((seeds) => seeds.every(Kernel.isAddress), 'use IP:port, separated by commas')
    .default([]),
  /**
   * At least 32 hexadecimal digits, or the path of a file with them; the same for the whole fleet.
   */
  sharedKey: Zod.string().min(1).optional(),
});

export type MembershipSettings = Readonly<Zod.infer<typeof fields>>;

export const settingsSchema: Zod.ZodType<MembershipSettings> = fields.superRefine(
  (settings, context) => {
    const host = getHost(settings.listen);
    if (settings.advertise === undefined && wildcardAddresses.has(host)) {
      const message = 'set it to the IP:port at which other routers reach this one';
      context.addIssue({ code: 'custom', path: ['advertise'], message });
    }
    if (settings.sharedKey === undefined && !isLoopback(host)) {
      const message =
        'set the same 32 or more hexadecimal digits, or a file with them, on each router';
      context.addIssue({ code: 'custom', path: ['sharedKey'], message });
    }
  },
);

export function getHost(address: string): string {
  return address.slice(0, address.lastIndexOf(':')).replace(/^\[(.*)\]$/, '$1');
}

function isLoopback(host: string): boolean {
  return loopbackAddresses.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}
