/** Distinguishes a terminated process from one that only lost a connection. */
import * as Net from 'node:net';

import * as Kernel from '@sequoiarill/kernel';
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

/** A refusal takes one round trip; an unreachable target must not delay the next attempt. */
const CONNECT_TIMEOUT_MS = 40;

/** `ended`: connections to its address are refused; `silent`: no response, as in a network partition. */
export type ExitCheckResult = 'ended' | 'alive' | 'silent';

export type ExitCheck = (process: Pick<ForwardingTarget, 'address'>) => Promise<ExitCheckResult>;

/** `closed`: the connection was accepted, and closed again while it was held. */
type ConnectionResult = ExitCheckResult | 'closed';

/**
 * The timeout counts running time, because this process may lack processor time when targets terminate.
 *
 * Failure: the kernel closes the connections of a killed process shortly before its listener, which still accepts a
 * connection in between; and a proxy accepts connections for a process that has ended. With `holdMs`, a connection is
 * held that long. Where it closes, the process has ended, or has had no room for it: another one tells.
 */
export function createExitCheck(
  { getRunningMs }: Pick<Clock, 'getRunningMs'>,
  timeoutMs = CONNECT_TIMEOUT_MS,
  holdMs = 0,
): ExitCheck {
  function checkConnection(address: string): Promise<ConnectionResult> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve) => {
      const socket = Net.connect({ host, port });
      let isOpen = false;
      let stopTimer: () => void;
      const resolveCheck = (result: ConnectionResult) => {
        stopTimer();
        socket.destroy();
        resolve(result);
      };
      const startTimer = (ms: number, result: ConnectionResult) => {
        stopTimer = Kernel.startRunningTimer(getRunningMs, ms, () => resolveCheck(result));
      };
      startTimer(timeoutMs, 'silent');
      socket.once('connect', () => {
        isOpen = true;
        stopTimer();
        if (holdMs === 0) resolveCheck('alive');
        else startTimer(holdMs, 'alive');
      });
      socket.once('error', ({ code }: NodeJS.ErrnoException) => {
        const isClosed = isOpen || (holdMs > 0 && code === 'ECONNRESET');
        if (isClosed) resolveCheck('closed');
        else resolveCheck(code === 'ECONNREFUSED' ? 'ended' : 'silent');
      });
      socket.once('end', () => resolveCheck('closed'));
      socket.resume();
    });
  }

  return async function checkExit({ address }) {
    const first = await checkConnection(address);
    const result = first === 'closed' ? await checkConnection(address) : first;
    return result === 'closed' ? 'ended' : result;
  };
}
