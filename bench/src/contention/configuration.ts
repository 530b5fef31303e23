/** Configuration of the contention bench: one service of engines, three routes and three organisations. */
import * as Standins from '@sequoiarill/standins';

import { ORGANISATIONS, ROUTES } from './scenarios';

export const PROMPT_TOKENS = 8_000;
export const TOKENS_PER_EVENT = 7;
export const EVENT_COUNT = 30;
export const EVENT_MS = 40;
export const PREFILL_TOKENS_PER_MS = 100;
/** Part of each prompt that all share. */
const SHARED_TOKENS = 1_000;
const MAX_GAP_MS = 700;
const MAX_TARGETS = 4;

export function formatKey(organisation: number): string {
  return `key-of-${ORGANISATIONS[organisation] ?? ''}`;
}

export function formatPath(route: number): string {
  return `/${ROUTES[route]?.name ?? ''}/x`;
}

export function createPromptHeaders(name: string): Readonly<Record<string, string>> {
  const outputTokens = EVENT_COUNT * TOKENS_PER_EVENT;
  return {
    'token-usage': `${PROMPT_TOKENS},${outputTokens}`,
    'length-hint': String(outputTokens),
    'prompt-prefix': `shared:${SHARED_TOKENS},${name}:${PROMPT_TOKENS - SHARED_TOKENS}`,
  };
}

export interface ConfigurationOptions {
  readonly patienceMs: number;
  readonly kvTokens: number;
}

export function formatConfiguration({ patienceMs, kvTokens }: ConfigurationOptions): string {
  return JSON.stringify({
    version: 1,
    routes: ROUTES.map(({ name, priority, objectiveMs }) => ({
      name,
      hostname: Standins.HOST,
      prefix: `/${name}/`,
      routeType: 'streaming',
      timeoutMs: patienceMs,
      targetLatencyMs: objectiveMs,
      gapTargetMs: MAX_GAP_MS,
      priority,
      service: 'engines',
      maxAttempts: MAX_TARGETS,
      public: false,
      sessionAffinity: true,
      streamResume: true,
    })),
    services: [
      {
        name: 'engines',
        maxConnections: 200,
        engine: { kvCapacity: kvTokens, backups: false, stride: TOKENS_PER_EVENT, cacheHandleS: 4 },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: ORGANISATIONS.map((name, index) => ({ name, apiKeys: [formatKey(index)] })),
  });
}
