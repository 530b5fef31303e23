/** Serves counters, gauges and latency histograms in the Prometheus text format. */
import type { ServerResponse } from 'node:http';

import type { Metrics, MetricTags } from '@sequoiarill/types';
import * as Prometheus from 'prom-client';

import * as GuardedServers from './guardedServer';
import * as Listeners from './listeners';

export interface MetricsPage extends Metrics {
  readonly formatPage: () => Promise<string>;
  readonly open: (address: string) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Upper bounds of the histogram buckets: from a network hop within a zone to a long generation. */
const LATENCY_BUCKETS_MS = [
  2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 12_000, 25_000,
];
const PREFIX = 'sequoiarill_';
const HTTP_SERVER_ERROR = 500;
/** A few readers, each of which takes the page at once. */
const LIMITS = { maxConnections: 64, unreadMs: 10_000 } as const;

/** Converts `forwarding.firstEvent` to `sequoiarill_forwarding_first_event`. */
function formatName(name: string): string {
  const words = name.replace(/([a-z0-9])([A-Z])/g, '$1_$2').replace(/[^A-Za-z0-9]+/g, '_');
  return `${PREFIX}${words.toLowerCase()}`;
}

export function createMetricsPage(tags: MetricTags): MetricsPage {
  const registry = new Prometheus.Registry();
  registry.setDefaultLabels({ ...tags });
  const counters = new Map<string, Prometheus.Counter>();
  const gauges = new Map<string, Prometheus.Gauge>();
  const histograms = new Map<string, Prometheus.Histogram>();

  /** Prometheus metrics have fixed labels, so the tags of the first use determine them. */
  function buildOptions(name: string, suffix: string, extraTags: MetricTags) {
    const fullName = `${formatName(name)}${suffix}`;
    return {
      name: fullName,
      help: name,
      labelNames: Object.keys(extraTags),
      registers: [registry],
    };
  }

  function getMetric<Value>(
    metricsByName: Map<string, Value>,
    name: string,
    create: () => Value,
  ): Value {
    const existing = metricsByName.get(name);
    if (existing !== undefined) return existing;
    const metric = create();
    metricsByName.set(name, metric);
    return metric;
  }

  async function sendPage(response: ServerResponse): Promise<void> {
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }

  const server = GuardedServers.createGuardedServer(LIMITS, (request, response) => {
    request.resume();
    sendPage(response).catch(() => {
      response.writeHead(HTTP_SERVER_ERROR).end();
    });
  });

  return {
    addCount(name, value = 1, extraTags = {}) {
      const options = buildOptions(name, '_total', extraTags);
      getMetric(counters, name, () => new Prometheus.Counter(options)).inc({ ...extraTags }, value);
    },
    setGauge(name, value, extraTags = {}) {
      const options = buildOptions(name, '', extraTags);
      getMetric(gauges, name, () => new Prometheus.Gauge(options)).set({ ...extraTags }, value);
    },
    recordTiming(name, valueMs, extraTags = {}) {
      const options = { ...buildOptions(name, '_ms', extraTags), buckets: LATENCY_BUCKETS_MS };
      const histogram = getMetric(histograms, name, () => new Prometheus.Histogram(options));
      histogram.observe({ ...extraTags }, valueMs);
    },
    formatPage: () => registry.metrics(),
    open: (address) => Listeners.openListener(server, address, '[telemetry] metricsListen'),
    close: () => Listeners.closeListener(server),
  };
}
