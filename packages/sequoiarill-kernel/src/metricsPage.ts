/** Counters, gauges and latency histograms as a page of text that a collector reads. */
import * as Http from 'node:http';
import type { ServerResponse } from 'node:http';

import type { Metrics, MetricTags } from '@sequoiarill/types';
import * as Prometheus from 'prom-client';

import * as Listeners from './listeners';

export interface MetricsPage extends Metrics {
  readonly formatPage: () => Promise<string>;
  readonly open: (address: string) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Upper bounds of latency classes, milliseconds: from a hop within a zone to a long generation. */
const LATENCY_BUCKETS_MS = [
  2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 12_000, 25_000,
];
const PREFIX = 'sequoiarill_';
const SERVER_ERROR = 500;

/** `forwarding.firstEvent` becomes `sequoiarill_forwarding_first_event`. */
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

  /** The labels of a metric are those of its first use. */
  function buildOptions(name: string, suffix: string, extra: MetricTags) {
    const full = `${formatName(name)}${suffix}`;
    return { name: full, help: name, labelNames: Object.keys(extra), registers: [registry] };
  }

  function getMetric<Value>(known: Map<string, Value>, name: string, create: () => Value): Value {
    const found = known.get(name);
    if (found !== undefined) return found;
    const created = create();
    known.set(name, created);
    return created;
  }

  async function sendPage(response: ServerResponse): Promise<void> {
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }

  const server = Http.createServer((request, response) => {
    request.resume();
    sendPage(response).catch(() => {
      response.writeHead(SERVER_ERROR).end();
    });
  });

  return {
    addCount(name, value = 1, extra = {}) {
      const options = buildOptions(name, '_total', extra);
      getMetric(counters, name, () => new Prometheus.Counter(options)).inc({ ...extra }, value);
    },
    setGauge(name, value, extra = {}) {
      const options = buildOptions(name, '', extra);
      getMetric(gauges, name, () => new Prometheus.Gauge(options)).set({ ...extra }, value);
    },
    recordTiming(name, valueMs, extra = {}) {
      const options = { ...buildOptions(name, '_ms', extra), buckets: LATENCY_BUCKETS_MS };
      const histogram = getMetric(histograms, name, () => new Prometheus.Histogram(options));
      histogram.observe({ ...extra }, valueMs);
    },
    formatPage: () => registry.metrics(),
    open: (address) => Listeners.openListener(server, address, '[telemetry] metricsListen'),
    close: () => Listeners.closeListener(server),
  };
}
