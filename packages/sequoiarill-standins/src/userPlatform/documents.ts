/**
 * Documents and headers that operators, callers and targets write on the users' platform, for their
 * stand-ins.
 */
import type { IncomingHttpHeaders } from 'node:http';

export const HOST = 'shop.example';
export const ORGANISATION = 'shop';
export const CONFIGURATION_KEY = 'op/config';
/** Services in the configuration that `createConfiguration` builds. */
export type ServiceName = 'engines' | 'orders';

const MAX_CONNECTIONS = 200;

export interface ConfigurationOptions {
  readonly timeoutMs?: number;
  readonly maxAttempts?: number;
  readonly apiKeys: readonly string[];
  /** Path prefix of an additional route to `orders`. */
  readonly furtherPrefix?: string;
}

/** Routes `/advice/` to engines, `/orders/` (at most once) and `/reads/` to plain targets. */
export function createConfiguration(
  version: number,
  options: ConfigurationOptions,
): Readonly<Record<string, unknown>> {
  const { timeoutMs = 5_000, maxAttempts = 3, apiKeys, furtherPrefix } = options;
  const sharedFields = {
    hostname: HOST,
    timeoutMs,
    targetLatencyMs: 400,
    maxAttempts,
    public: false,
  };
  const plainRoute = { ...sharedFields, service: 'orders' };
  const safeRoute = { ...plainRoute, routeType: 'safe' };
  const furtherRoutes =
    furtherPrefix === undefined ? [] : [{ ...safeRoute, name: 'further', prefix: furtherPrefix }];
  return {
    version,
    routes: [
      {
        ...sharedFields,
        name: 'advice',
        prefix: '/advice/',
        routeType: 'streaming',
        service: 'engines',
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 700,
      },
      { ...plainRoute, name: 'orders', prefix: '/orders/', routeType: 'unsafe' },
      { ...safeRoute, name: 'reads', prefix: '/reads/' },
      ...furtherRoutes,
    ],
    services: [
      {
        name: 'engines',
        maxConnections: MAX_CONNECTIONS,
        engine: { kvCapacity: 100_000, backups: true, stride: 1, cacheHandleS: 4 },
      },
      { name: 'orders', maxConnections: MAX_CONNECTIONS },
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
  /** Version of the software that the target runs. */
  readonly version: string;
  /** Distinguishes incarnations of the target. */
  readonly startedAtUnixMs: number;
}

export function formatTargetKey(id: string): string {
  return `servers/${id}`;
}

export function formatTargetEntry({ startedAtUnixMs, ...entry }: TargetEntry): string {
  return JSON.stringify({ ...entry, warmupLeftMs: 0, born: startedAtUnixMs });
}

/** Formats an operator's rollout order, which moves a service to a version. */
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

/**
 * `prompt` identifies the part of the prompt after the shared prefix; `resumeAfter` is the last
 * event received, and `resumes` the id of the attempt that brought the first one.
 */
export function createStreamHeaders(
  prompt: string,
  resumeAfter?: number,
  resumes?: string,
): Readonly<Record<string, string>> {
  return {
    accept: 'text/event-stream',
    'token-usage': '100,50',
    'prompt-prefix': `aa:20,${prompt}:80`,
    model: 'm',
    ...(resumeAfter === undefined ? {} : { 'last-event-id': String(resumeAfter) }),
    ...(resumes === undefined ? {} : { resumes }),
  };
}

const SIGNATURE_PREFIX = 'signed by ';

export function formatSignature(target: string): string {
  return `${SIGNATURE_PREFIX}${target}`;
}

/** The target that signed the answer and says in it that it leaves. */
export function findLeavingTarget(headers: IncomingHttpHeaders): string | undefined {
  const signature = headers['server-signature'];
  if (headers['server-leaving'] !== '1' || typeof signature !== 'string') return undefined;
  return signature.slice(SIGNATURE_PREFIX.length);
}

/** Whether an answer carries a target's signature. */
export function hasSignature(headers: IncomingHttpHeaders): boolean {
  return headers['server-signature'] !== undefined;
}
