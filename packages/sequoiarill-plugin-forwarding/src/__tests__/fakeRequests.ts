/** Requests, routes and targets for tests. */
import type { ForwardingRoute, ForwardingTarget } from '@sequoiarill/types';

import type { ForwardRequest } from '../forwardRequest';

export function createTarget(id: string, change: Partial<ForwardingTarget> = {}): ForwardingTarget {
  return {
    id,
    startedAtUnixMs: 1,
    service: 'engines',
    version: 'v1',
    models: 'm 1',
    address: `10.0.0.1:${id}`,
    zone: 'a',
    slots: 8,
    state: 'ready',
    warmupLeftMs: 0,
    ...change,
  };
}

export function createRoute(change: Partial<ForwardingRoute> = {}): ForwardingRoute {
  return {
    name: 'advice',
    host: 'shop.example',
    pathPrefix: '/',
    retryPolicy: 'resumable',
    isStream: true,
    hasPrompt: true,
    isPublic: false,
    timeoutMs: 20_000,
    objectiveMs: 4_000,
    maxGapMs: 700,
    priority: 0,
    maxTargets: 5,
    shares: [{ service: 'engines', weight: 1 }],
    ...change,
  };
}

export function createRequest(route: ForwardingRoute): ForwardRequest {
  return {
    id: 'r1',
    method: 'POST',
    path: '/x',
    headers: [],
    body: Buffer.alloc(0),
    contentKey: 'c1',
    route,
    service: route.shares[0]?.service ?? '',
    arrivedAtMs: 0,
    expiresAtMs: route.timeoutMs,
    isClientRetry: false,
    promptTokens: 8_000,
    promptParts: [],
    versionDraw: 0.5,
    closed: new AbortController().signal,
  };
}
