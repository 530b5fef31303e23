/** An engine in virtual time: slots, a KV cache, a queue ordered by rank, and one prefill at a time. */
import type * as Kernel from '@sequoiarill/kernel';
import type { EngineReport, ForwardingTarget } from '@sequoiarill/types';

import * as FakeCalls from '../../__tests__/fakeCalls';
import type { CallEvent, TargetCall } from '../../targets/targetCall';

export const PREFILL_MS = 500;
export const EVENTS = 25;
export const EVENT_MS = 140;
export const RUN_MS = PREFILL_MS + EVENTS * EVENT_MS;
export const PROMPT_TOKENS = 8_000;
const TOKENS_PER_EVENT = 36;
const TOTAL_TOKENS = 88_000;
const DEFAULT_RANK = 5;

interface Run {
  readonly id: string;
  readonly rank: number;
  readonly firstEvent: number;
  tokens: number;
  hasEvents: boolean;
  isEnded: boolean;
  readonly holder: SimulatedEngine | undefined;
  readonly pushEvent: (event: CallEvent) => void;
}

export interface SimulatedEngine {
  readonly target: ForwardingTarget;
  readonly openCall: (id: string, headers: Readonly<Record<string, string>>) => TargetCall;
  /** As it was 100 to 200 ms ago; undefined while it is down. */
  readonly readReport: () => EngineReport | undefined;
  /** Must be called every 100 ms. */
  readonly updateReport: () => void;
  readonly setDown: (isDown: boolean) => void;
  /** Tokens of the copies of other engines' runs, by run. */
  readonly copies: Map<string, number>;
}

/** A call to which an engine pushes events as they arise. */
function createPushedCall(clock: Kernel.FakeClock, cancel: () => void) {
  const events: CallEvent[] = [];
  let resume: (() => void) | undefined;
  let isCancelled = false;
  const call: TargetCall = {
    wasSent: () => events[0]?.kind !== 'broken' || events[0].reason !== 'ECONNREFUSED',
    cancel() {
      if (isCancelled) return;
      isCancelled = true;
      cancel();
      resume?.();
    },
    drain: () => undefined,
    recordExcess: () => undefined,
    async readEvent(timeoutMs) {
      if (events.length === 0 && !isCancelled) {
        const timer = new AbortController();
        resume = () => timer.abort();
        await clock.waitMs(Math.max(0, timeoutMs), timer.signal);
        resume = undefined;
      }
      if (isCancelled) return { kind: 'cancelled' };
      return events.shift() ?? { kind: 'timeout' };
    },
  };
  const pushEvent = (event: CallEvent) => {
    events.push(event);
    resume?.();
  };
  return { call, pushEvent };
}

export function createSimulatedEngine(
  clock: Kernel.FakeClock,
  target: ForwardingTarget,
  findHolder: (address: string) => SimulatedEngine | undefined,
): SimulatedEngine {
  const copies = new Map<string, number>();
  let queue: Run[] = [];
  let running: Run[] = [];
  let isPrefilling = false;
  let isDown = false;
  let reports: readonly EngineReport[] = [];

  function countUsed(): number {
    const copied = [...copies.values()].reduce((sum, tokens) => sum + tokens, 0);
    return running.reduce((sum, { tokens }) => sum + tokens, copied);
  }

  function buildReport(): EngineReport {
    const begun = running.filter(({ hasEvents }) => hasEvents);
    return {
      queued: queue.length,
      running: running.length,
      prefilling: running.length - begun.length,
      runIds: begun.map(({ id }) => id),
      usedTokens: countUsed(),
      totalTokens: TOTAL_TOKENS,
      isLeaving: false,
    };
  }

  function startRuns(): void {
    while (running.length < target.slots && countUsed() + PROMPT_TOKENS <= TOTAL_TOKENS) {
      const next = queue.shift();
      if (next === undefined) break;
      running.push(next);
    }
    if (!isPrefilling) runPrefills().catch(() => undefined);
  }

  async function runPrefills(): Promise<void> {
    isPrefilling = true;
    for (;;) {
      const next = running.find(({ tokens }) => tokens === 0);
      if (next === undefined) break;
      next.tokens = PROMPT_TOKENS;
      await clock.waitMs(PREFILL_MS * (next.firstEvent > EVENTS ? 0 : 1));
      if (!next.isEnded) runEvents(next).catch(() => undefined);
    }
    isPrefilling = false;
  }

  function stopRun(run: Run): void {
    if (run.isEnded) return;
    run.isEnded = true;
    run.holder?.copies.delete(run.id);
    running = running.filter((other) => other !== run);
    queue = queue.filter((other) => other !== run);
    startRuns();
  }

  async function runEvents(run: Run): Promise<void> {
    run.pushEvent(FakeCalls.createHead(200, { id: run.id }));
    for (let number = run.firstEvent; number <= EVENTS && !run.isEnded; number += 1) {
      run.hasEvents = true;
      run.tokens += TOKENS_PER_EVENT;
      run.holder?.copies.set(run.id, run.tokens);
      const chunk = Buffer.from(`id: ${number}\ndata: ${number}\n\n`);
      run.pushEvent({ kind: 'data', chunk });
      await clock.waitMs(EVENT_MS);
    }
    if (run.isEnded) return;
    run.pushEvent({ kind: 'end' });
    stopRun(run);
  }

  return {
    copies,
    target,
    openCall(id, headers) {
      let run: Run | undefined;
      const { call, pushEvent } = createPushedCall(clock, () => run !== undefined && stopRun(run));
      if (isDown) {
        pushEvent({ kind: 'broken', reason: 'ECONNREFUSED' });
        return call;
      }
      run = {
        id,
        rank: Number(headers.priority ?? DEFAULT_RANK),
        firstEvent: Number(headers.last ?? 0) + 1,
        tokens: 0,
        hasEvents: false,
        isEnded: false,
        holder: findHolder(headers.backup ?? ''),
        pushEvent,
      };
      queue = [...queue, run].sort((left, right) => left.rank - right.rank);
      startRuns();
      return call;
    },
    readReport: () => (isDown ? undefined : reports[0]),
    updateReport() {
      reports = [...reports.slice(-1), buildReport()];
    },
    setDown(next) {
      isDown = next;
      copies.clear();
      if (!isDown) return;
      const lost = [...running, ...queue];
      running = [];
      queue = [];
      lost.forEach((run) => {
        run.isEnded = true;
        run.pushEvent({ kind: 'broken', reason: 'ECONNRESET' });
      });
    },
  };
}
