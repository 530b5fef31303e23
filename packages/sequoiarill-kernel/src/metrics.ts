/** Metrics over StatsD and as text; see docs/operators/METRICS.md for names, units and meaning. */
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

/** Sends to the sink where there is one, and keeps what a metrics page shows where one is given. */
export function createMetrics(
  sink: string | undefined,
  tags: Readonly<Record<string, string>>,
  page?: Metrics,
): MetricsSender {
  const sender = sink === undefined ? createNoopMetrics() : createStatsDSender(sink, tags);
  if (page === undefined) return sender;
  return {
    addCount(name, value, extra) {
      sender.addCount(name, value, extra);
      page.addCount(name, value, extra);
    },
    setGauge(name, value, extra) {
      sender.setGauge(name, value, extra);
      page.setGauge(name, value, extra);
    },
    recordTiming(name, valueMs, extra) {
      sender.recordTiming(name, valueMs, extra);
      page.recordTiming(name, valueMs, extra);
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

export function createNoopMetrics(): MetricsSender {
  return {
    addCount: () => undefined,
    setGauge: () => undefined,
    recordTiming: () => undefined,
    close: () => undefined,
  };
}
