/** Calls to fake targets and routers, which follow a script in virtual time. */
import type * as Kernel from '@sequoiarill/kernel';

import type { CallEvent, TargetCall } from '../targets/targetCall';

/** Events of one call, each at a time after the call was sent; nothing follows the last one. */
export type Script = readonly (readonly [afterMs: number, event: CallEvent])[];

export interface SentCall {
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly atMs: number;
  isCancelled: boolean;
}

export function createHead(status: number, headers: Readonly<Record<string, string>> = {}) {
  const defaults = { id: 'r1', signature: 's', 'transfer-encoding': 'chunked' };
  return {
    kind: 'head',
    head: { status, statusMessage: '', headers: { ...defaults, ...headers } },
  } as const;
}

export function createEvents(from: number, to: number, everyMs: number, startMs = 0): Script {
  const numbers = Array.from({ length: to - from + 1 }, (_item, index) => from + index);
  return numbers.map((number, index) => [
    startMs + index * everyMs,
    { kind: 'data', chunk: Buffer.from(`id: ${number}\ndata: ${number}\n\n`) },
  ]);
}

/** Runs a script; a call whose script begins with a refused connection counts as not sent. */
export function createCall(clock: Kernel.FakeClock, record: SentCall, script: Script): TargetCall {
  const sentAtMs = clock.getNowMs();
  const pendingEvents = [...script];
  const first = script[0]?.[1];
  const isRefused = first?.kind === 'broken' && first.reason === 'ECONNREFUSED';
  const cancelling = new AbortController();
  return {
    wasSent: () => !isRefused,
    cancel() {
      record.isCancelled = true;
      cancelling.abort();
    },
    drain: () => undefined,
    recordExcess: () => undefined,
    async readEvent(timeoutMs) {
      if (record.isCancelled) return { kind: 'cancelled' };
      const dueMs =
        (pendingEvents[0]?.[0] ?? Number.POSITIVE_INFINITY) + sentAtMs - clock.getNowMs();
      if (dueMs > timeoutMs) {
        await clock.waitMs(Math.max(0, timeoutMs), cancelling.signal);
        return { kind: record.isCancelled ? 'cancelled' : 'timeout' };
      }
      if (dueMs > 0) await clock.waitMs(dueMs, cancelling.signal);
      if (record.isCancelled) return { kind: 'cancelled' };
      return pendingEvents.shift()?.[1] ?? { kind: 'timeout' };
    },
  };
}
