/** Configuration of the contention bench: one service of engines, three routes and three organisations. */
import * as Standins from '@sequoiarill/standins';

import { ORGANISATIONS, ROUTES } from './scenarios';

export const PROMPT_TOKENS = 8_000;
export const TOKENS_PER_EVENT = 7;
export const EVENT_COUNT = 30;
const EVENT_MS = 40;
const PREFILL_TOKENS_PER_MS = 100;
const PATIENCE_MS = 6_250;
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

/** Times of a run of the bench; at a scale of 4 they are about those of the deployments. */
export interface Timing {
  readonly eventMs: number;
  readonly prefillTokensPerMs: number;
  /** Time for which a caller waits, from its arrival. */
  readonly patienceMs: number;
  /** For the first event, by route. */
  readonly objectivesMs: readonly number[];
  /** Time for which a run holds a slot of an engine of full speed that prefills nothing else. */
  readonly runMs: number;
}

export function createTiming(scale: number): Timing {
  const eventMs = EVENT_MS * scale;
  const prefillTokensPerMs = PREFILL_TOKENS_PER_MS / scale;
  return {
    eventMs,
    prefillTokensPerMs,
    patienceMs: PATIENCE_MS * scale,
    objectivesMs: ROUTES.map(({ objectiveMs }) => objectiveMs * scale),
    runMs: PROMPT_TOKENS / prefillTokensPerMs + (EVENT_COUNT - 1) * eventMs,
  };
}

export function formatConfiguration(
  { patienceMs, objectivesMs }: Timing,
  kvTokens: number,
): string {
  return JSON.stringify({
    version: 1,
    routes: ROUTES.map(({ name, priority }, index) => ({
      name,
      hostname: Standins.HOST,
      prefix: `/${name}/`,
      routeType: 'streaming',
      timeoutMs: patienceMs,
      targetLatencyMs: objectivesMs[index],
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
