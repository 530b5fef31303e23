/** Tells a target that has ended from one that only lost a connection. */
import * as Net from 'node:net';

import type { ForwardingTarget } from '@sequoiarill/types';

/** A refusal takes one way there and back; a target that is cut off must not hold up the next send. */
const LIMIT_MS = 40;

/**
 * Whether connections to the target's address are refused, so that its process has ended. False when it
 * takes one, or when nothing answers, as behind a cut.
 */
export async function checkEnded({ address }: ForwardingTarget): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    const socket = Net.connect({ host, port });
    const finish = (isEnded: boolean) => {
      socket.destroy();
      resolve(isEnded);
    };
    socket.setTimeout(LIMIT_MS, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
  });
}
