/** Metrics over StatsD; see docs/operators/METRICS.md for names, units and meaning. */
import type { Metrics } from '@sequoiarill/types';
import { StatsD } from 'hot-shots';

const PREFIX = 'sequoiarill.';
/** Datagrams leave at most this late; keeps packets few at thousands of counts a second. */
const FLUSH_INTERVAL_MS = 1_000;
/** Fits an Ethernet frame, so that no datagram is fragmented. */
const DATAGRAM_BYTES = 1_432;

export interface MetricsSender extends Metrics {
  readonly close: () => void;
}

export function createMetrics(
  sink: string | undefined,
  tags: Readonly<Record<string, string>>,
): MetricsSender {
  if (sink === undefined) return createSilentMetrics();
  const separator = sink.lastIndexOf(':');
  const client = new StatsD({
    host: sink.slice(0, separator),
    port: Number(sink.slice(separator + 1)),
    prefix: PREFIX,
    globalTags: { ...tags },
    maxBufferSize: DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    // A sink that is away must not stop the router; its datagrams are lost.
    errorHandler: () => undefined,
  });
  return {
    addCount: (name, value = 1, extra = {}) => client.increment(name, value, { ...extra }),
    setGauge: (name, value, extra = {}) => client.gauge(name, value, { ...extra }),
    recordTiming: (name, valueMs, extra = {}) => client.timing(name, valueMs, { ...extra }),
    close: () => client.close(),
  };
}

export function createSilentMetrics(): MetricsSender {
  return {
    addCount: () => undefined,
    setGauge: () => undefined,
    recordTiming: () => undefined,
    close: () => undefined,
  };
}
