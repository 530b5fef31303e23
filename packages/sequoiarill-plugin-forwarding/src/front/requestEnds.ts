/** Records how requests of callers ended, and how long they lasted. */
import type { ForwardOutcome, ForwardRequest } from '../forwardRequest';
import * as Metrics from '../metrics';
import type { StreamOutcome } from '../streams/streamPlan';
import type { ExchangeDependencies } from './replies';

export function recordRequestEnd(
  { metrics, clock, crashes, durations }: ExchangeDependencies,
  { contentKey, route, arrivedAtMs, lastEventId, sink }: ForwardRequest,
  outcome: StreamOutcome['kind'] | ForwardOutcome['kind'],
): void {
  metrics.addCount(Metrics.REQUESTS, 1, { route: route.name, outcome });
  const tookMs = clock.getNowMs() - arrivedAtMs - (sink?.getUnreadMs().totalMs ?? 0);
  if (outcome !== 'answer' && outcome !== 'complete') {
    if (outcome !== 'refused') durations.recordIncomplete(route.name, tookMs);
    return;
  }
  crashes.recordAnswer(contentKey);
  metrics.recordTiming(Metrics.ANSWER, tookMs, { route: route.name });
  // A resumed stream is shorter than a complete one.
  if (lastEventId === undefined) durations.recordAnswer(route.name, tookMs);
  else durations.recordIncomplete(route.name, tookMs);
}
