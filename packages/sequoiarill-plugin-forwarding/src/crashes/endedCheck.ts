/** Tells a target that has ended from one that only lost a connection. */
import * as Net from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

/** A refusal takes one way there and back; a target that is cut off must not hold up the next send. */
const LIMIT_MS = 40;

/** `ended`: connections to its address are refused; `silent`: nothing answers, as behind a cut. */
export type EndedVerdict = 'ended' | 'alive' | 'silent';

export type EndedCheck = (target: ForwardingTarget) => Promise<EndedVerdict>;

/** The limit is running time: this process may be short of processor time when targets end. */
export function createEndedCheck({ getRunningMs }: Pick<Clock, 'getRunningMs'>): EndedCheck {
  return async function checkEnded({ address }) {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve) => {
      const socket = Net.connect({ host, port });
      const resolveCheck = (verdict: EndedVerdict) => {
        stopTimer();
        socket.destroy();
        resolve(verdict);
      };
      const stopTimer = Kernel.startRunningTimer(getRunningMs, LIMIT_MS, () =>
        resolveCheck('silent'),
      );
      socket.once('connect', () => resolveCheck('alive'));
      socket.once('error', ({ code }: NodeJS.ErrnoException) =>
        resolveCheck(code === 'ECONNREFUSED' ? 'ended' : 'silent'),
      );
    });
  };
}
