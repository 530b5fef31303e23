/** Settings of the plug-in `membership`. */
import { BlockList, isIPv6 } from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const anyAddresses: ReadonlySet<string> = new Set(['0.0.0.0', '::']);
const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

const fields = Zod.strictObject({
  /** Where this router listens for its peers; port 0 takes a free one. */
  listen: Kernel.addressSchema.default('127.0.0.1:8091'),
  /** Where its peers reach it; the bound address unless given. */
  advertise: Kernel.addressSchema.optional(),
  /** Peers to ask first, comma-separated; one that lives is enough. */
  seeds: Kernel.listSchema
    .refine((seeds) => seeds.every(Kernel.isAddress), 'use IP:port, separated by commas')
    .default([]),
  /** At least 32 hexadecimal digits, or a file that holds them; the same for the whole fleet. */
  sharedKey: Zod.string().min(1).optional(),
});

export type MembershipSettings = Readonly<Zod.infer<typeof fields>>;

export const settingsSchema: Zod.ZodType<MembershipSettings> = fields.superRefine(
  (settings, context) => {
    const host = getHost(settings.listen);
    if (settings.advertise === undefined && anyAddresses.has(host)) {
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
  return loopback.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}
