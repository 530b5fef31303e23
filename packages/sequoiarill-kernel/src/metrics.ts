/**
 * Sends metrics to StatsD and to the metrics page; docs/operators/METRICS.md lists names, units and
 * meanings.
 */
import type { Metrics } from '@sequoiarill/types';
import { StatsD } from 'hot-shots';

export { METRICS } from './loopMetrics';

const PREFIX = 'sequoiarill.';
/**
 * Metrics are batched for at most this time, which keeps the number of packets low at thousands of
 * updates per second.
 */
const FLUSH_INTERVAL_MS = 1_000;
/** Fits into an Ethernet frame, so that datagrams are not fragmented. */
const DATAGRAM_BYTES = 1_432;

export interface MetricsSender extends Metrics {
  readonly close: () => void;
}

/** Sends metrics to the StatsD sink and updates the metrics page, each only if it is configured. */
export function createMetrics(
  sink: string | undefined,
  tags: Readonly<Record<string, string>>,
  page?: Metrics,
): MetricsSender {
  const sender = sink === undefined ? createNoopMetrics() : createStatsDSender(sink, tags);
  if (page === undefined) return sender;
  return {
    addCount(name, value, extraTags) {
      sender.addCount(name, value, extraTags);
      page.addCount(name, value, extraTags);
    },
    setGauge(name, value, extraTags) {
      sender.setGauge(name, value, extraTags);
      page.setGauge(name, value, extraTags);
    },
    recordTiming(name, valueMs, extraTags) {
      sender.recordTiming(name, valueMs, extraTags);
      page.recordTiming(name, valueMs, extraTags);
    },
    close: sender.close,
  };
}

function createStatsDSender(sink: string, tags: Readonly<Record<string, string>>): MetricsSender {
  const separator = sink.lastIndexOf(':');
  const client = new StatsD({
    host: sink.slice(0, separator),
    port: Number(sink.slice(separator + 1)),
    prefix: PREFIX,
    globalTags: { ...tags },
    maxBufferSize: DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    // An unreachable sink must not stop the router; the datagrams are lost.
    errorHandler: () => undefined,
  });
  return {
    addCount: (name, value = 1, extraTags = {}) => client.increment(name, value, { ...extraTags }),
    setGauge: (name, value, extraTags = {}) => client.gauge(name, value, { ...extraTags }),
    recordTiming: (name, valueMs, extraTags = {}) => client.timing(name, valueMs, { ...extraTags }),
    close: () => client.close(),
  };
}

export function createNoopMetrics(): MetricsSender {
  return {
    addCount: () => undefined,
    setGauge: () => undefined,
    recordTiming: () => undefined,
    close: () => undefined,
  };
}
