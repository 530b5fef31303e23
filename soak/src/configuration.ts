/** Operators' configurations: each version has a route and an API key that no other version has. */

export const HOST = 'shop.example';
export const ORGANISATION = 'shop';
/** Valid in every version. */
export const CALLERS_KEY = 'key-of-callers';

export function formatVersionPath(version: number): string {
  return `/version-${version}/`;
}

export function formatVersionKey(version: number): string {
  return `key-of-version-${version}`;
}

export function formatConfiguration(version: number): string {
  const shared = {
    hostname: HOST,
    timeoutMs: 8_000,
    targetLatencyMs: 400,
    maxAttempts: 4,
    public: false,
  };
  const plain = { ...shared, service: 'orders' };
  return JSON.stringify({
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
      { ...plain, name: 'reads', prefix: '/reads/', routeType: 'safe' },
      { ...plain, name: 'version', prefix: formatVersionPath(version), routeType: 'safe' },
    ],
    services: [
      {
        name: 'engines',
        maxConnections: 200,
        engine: { kvCapacity: 100_000, backups: true, stride: 1, cacheHandleS: 4 },
      },
      { name: 'orders', maxConnections: 200 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: [
      { name: ORGANISATION, apiKeys: [CALLERS_KEY, formatVersionKey(version)], priority: 1 },
    ],
  });
}
