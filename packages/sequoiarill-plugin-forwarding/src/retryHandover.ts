/** What a process that stops as planned leaves to the next one of its router: the counts of its retry budgets. */
import type { EndedProcess, FleetRetryBudget } from '@sequoiarill/decisions';
import type { Clock } from '@sequoiarill/types';
import * as Zod from 'zod';

export interface RetryHandover {
  /** Counts of the earlier process for a service; undefined where it has left none. */
  readonly getPredecessor: (service: string) => EndedProcess | undefined;
}

/** More than a budget has slots. */
const MAX_SLOTS = 1_000;

const countsSchema = Zod.array(Zod.number().min(0)).max(MAX_SLOTS);
const recordSchema = Zod.object({
  endedAt: Zod.string(),
  windowMs: Zod.number(),
  services: Zod.record(Zod.string(), Zod.object({ requests: countsSchema, retries: countsSchema })),
});

type StopRecord = Zod.infer<typeof recordSchema>;

/** Zeros at the end say nothing. */
function removeTrailingZeros(counts: readonly number[]): number[] {
  return counts.slice(0, counts.findLastIndex((count) => count > 0) + 1);
}

/** Empty in the first window of a process, whose counts are not complete. */
export function encodeBudgets(
  budgets: ReadonlyMap<string, Pick<FleetRetryBudget, 'getHistory'>>,
  { getNowMs, getWallTime }: Pick<Clock, 'getNowMs' | 'getWallTime'>,
  windowMs: number,
  startedMs: number,
): string {
  const nowMs = getNowMs();
  if (nowMs - startedMs < windowMs) return '';
  const histories = [...budgets].flatMap(([service, budget]) => {
    const history = budget.getHistory(nowMs);
    if (history === undefined) return [];
    const counts = {
      requests: removeTrailingZeros(history.requests),
      retries: removeTrailingZeros(history.retries),
    };
    return [[service, counts] as const];
  });
  const record: StopRecord = {
    endedAt: getWallTime(),
    windowMs,
    services: Object.fromEntries(histories),
  };
  return JSON.stringify(record);
}

function decodeRecord(text: string): StopRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

const NO_HISTORY = { requests: [], retries: [] } as const;

export function createRetryHandover(
  getStopRecord: () => string | undefined,
  { getNowMs, getWallTime }: Pick<Clock, 'getNowMs' | 'getWallTime'>,
  windowMs: number,
): RetryHandover {
  let read: { readonly record: StopRecord | undefined; readonly endedMs: number } | undefined;

  function readRecord(text: string) {
    const record = decodeRecord(text);
    const agoMs = Date.parse(getWallTime()) - Date.parse(record?.endedAt ?? '');
    // A clock that was set back says nothing of the time since.
    const isUsable = agoMs >= 0 && record?.windowMs === windowMs;
    return { record: isUsable ? record : undefined, endedMs: getNowMs() - agoMs };
  }

  return {
    getPredecessor(service) {
      const text = getStopRecord();
      if (text === undefined) return undefined;
      read ??= readRecord(text);
      const { record, endedMs } = read;
      return record && { ...(record.services[service] ?? NO_HISTORY), endedMs };
    },
  };
}
