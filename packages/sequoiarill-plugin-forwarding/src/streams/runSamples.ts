/** Measures the runs of engines where it is decided who gets room: their speed, and how long they are. */
import type { ForwardingDependencies } from '../dependencies';
import type { AttemptOptions } from './streamAttempt';

export interface RunSamples {
  /** Records that events arrived together. */
  readonly recordEvents: (count: number) => void;
  readonly recordEnd: (wasComplete: boolean) => void;
}

const UNUSED: RunSamples = { recordEvents: () => undefined, recordEnd: () => undefined };

export function createRunSamples(
  dependencies: ForwardingDependencies,
  options: Pick<
    AttemptOptions,
    'request' | 'target' | 'isContinued' | 'prefillTokens' | 'promptsAhead'
  >,
): RunSamples {
  const { room, clock, directory } = dependencies;
  const { request, target, prefillTokens, promptsAhead } = options;
  if (!room.isActive(request.service)) return UNUSED;
  const startedAtMs = clock.getRunningMs();
  let firstAtMs = startedAtMs;
  let lastAtMs: number | undefined;
  let events = 0;

  function recordFirst(nowMs: number): void {
    firstAtMs = nowMs;
    if (promptsAhead !== 0 || prefillTokens === 0) return;
    room.recordPrefill(target, { tokens: prefillTokens, ms: nowMs - startedAtMs });
  }

  return {
    recordEvents(count) {
      const nowMs = clock.getRunningMs();
      if (lastAtMs === undefined) recordFirst(nowMs);
      else room.recordGap(target, request.id, nowMs - lastAtMs);
      lastAtMs = nowMs;
      events += count;
    },
    recordEnd(wasComplete) {
      if (lastAtMs === undefined) return;
      room.recordRunEnd(target, request.id);
      if (!wasComplete || options.isContinued) return;
      const { tokensPerEvent = 1 } =
        directory.getConfiguration()?.services.get(request.service)?.engine ?? {};
      dependencies
        .getRunEstimates(request.service)
        .recordRun({ outputTokens: events * tokensPerEvent, ms: lastAtMs - firstAtMs });
    },
  };
}
