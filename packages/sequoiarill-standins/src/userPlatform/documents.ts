/** What operators, callers and targets write on the users' platform, for stand-ins of all three. */
import type { IncomingHttpHeaders } from 'node:http';

export const HOST = 'shop.example';
export const ORGANISATION = 'shop';
export const CONFIGURATION_KEY = 'op/config';
/** Services of the configuration below. */
export type ServiceName = 'engines' | 'orders';

const CONNECTIONS = 200;

export interface ConfigurationChange {
  readonly timeoutMs?: number;
  readonly maxAttempts?: number;
  readonly apiKeys: readonly string[];
  /** Path prefix of a further route to `orders`. */
  readonly furtherPrefix?: string;
}

/** Routes `/advice/` to engines, `/orders/` (at most once) and `/reads/` to plain targets. */
export function createConfiguration(
  version: number,
  change: ConfigurationChange,
): Readonly<Record<string, unknown>> {
  const { timeoutMs = 5_000, maxAttempts = 3, apiKeys, furtherPrefix } = change;
  const shared = {
    hostname: HOST,
    timeoutMs,
    targetLatencyMs: 400,
    maxAttempts,
    public: false,
  };
  const plain = { ...shared, service: 'orders' };
  const safe = { ...plain, routeType: 'safe' };
  const further =
    furtherPrefix === undefined ? [] : [{ ...safe, name: 'further', prefix: furtherPrefix }];
  return {
    version,
    routes: [
      {
        ...shared,
        name: 'advice',
        prefix: '/advice/',
        routeType: 'streaming',
        service: 'engines',
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 700,
      },
      { ...plain, name: 'orders', prefix: '/orders/', routeType: 'unsafe' },
      { ...safe, name: 'reads', prefix: '/reads/' },
      ...further,
    ],
    services: [
      {
        name: 'engines',
        maxConnections: CONNECTIONS,
        engine: { kvCapacity: 100_000, backups: true, stride: 1, cacheHandleS: 4 },
      },
      { name: 'orders', maxConnections: CONNECTIONS },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [{ name: ORGANISATION, apiKeys, priority: 1 }],
  };
}

export interface TargetEntry {
  readonly service: ServiceName;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Of its software. */
  readonly version?: string;
  /** Tells lives apart. */
  readonly startedAtUnixMs: number;
}

export function formatTargetKey(id: string): string {
  return `servers/${id}`;
}

export function formatTargetEntry({ startedAtUnixMs, ...entry }: TargetEntry): string {
  return JSON.stringify({ ...entry, warmupLeftMs: 0, born: startedAtUnixMs });
}

/** An operator's order to move a service to a version. */
export function formatRolloutOrder(service: ServiceName, to: string, durationS: number): string {
  return JSON.stringify({ service, to, durationS });
}

export function formatRolloutKeys(service: ServiceName) {
  return { order: `op/rollout/${service}`, status: `status/rollout/${service}` };
}

export interface CallerIdentity {
  readonly requestId: string;
  readonly apiKey: string;
  readonly limitMs: number;
}

export function createCallerHeaders(caller: CallerIdentity): Readonly<Record<string, string>> {
  return {
    host: HOST,
    'request-id': caller.requestId,
    credential: caller.apiKey,
    'deadline-ms': String(caller.limitMs),
  };
}

/** `prompt` names the prompt's own part; `resumeAfter` is the last event that the caller has. */
export function createStreamHeaders(
  prompt: string,
  resumeAfter?: number,
): Readonly<Record<string, string>> {
  return {
    accept: 'text/event-stream',
    'token-usage': '100,50',
    'prompt-prefix': `aa:20,${prompt}:80`,
    model: 'm',
    ...(resumeAfter === undefined ? {} : { 'last-event-id': String(resumeAfter) }),
  };
}

/** Whether a target's signature is on an answer. */
export function hasSignature(headers: IncomingHttpHeaders): boolean {
  return headers['server-signature'] !== undefined;
}
