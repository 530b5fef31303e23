/** Callers of plain services in the matrix tests. */
import * as Crypto from 'node:crypto';

import * as Demo from '@sequoiarill/demo';
import * as Undici from 'undici';

import * as Callers from './callers';
import type { World } from './world';

export interface OrderAnswer {
  readonly status: number;
  /** `x-sequoiarill-outcome`; undefined when the connection broke. */
  readonly outcome: string | undefined;
  readonly code: string | undefined;
  readonly body: string;
  readonly retryAfter: string | undefined;
}

/** The connection ended without an answer. */
export const NO_ANSWER: OrderAnswer = {
  status: 0,
  outcome: undefined,
  code: undefined,
  body: '',
  retryAfter: undefined,
};

export interface OrderOptions {
  readonly url: string;
  readonly apiKey: string;
  readonly idempotencyKey: string;
  readonly agent: Undici.Agent;
  /** Holds back the second half of the body until it resolves. */
  readonly released?: Promise<void>;
}

export function createIdempotencyKey(): string {
  return Crypto.randomUUID();
}

/** Books once; a broken connection is `NO_ANSWER`. */
export async function sendOrder(options: OrderOptions): Promise<OrderAnswer> {
  const { agent, released } = options;
  const holding = released && Callers.createHoldingDispatcher(agent, released);
  const dispatcher = holding ?? agent;
  try {
    const answer = await Undici.request(`${options.url}/v1/services/${Demo.SERVICE}/callouts`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${options.apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': options.idempotencyKey,
      },
      body: JSON.stringify({ door: 'care home, main entrance' }),
      dispatcher,
    });
    const body = await answer.body.text();
    return {
      status: answer.statusCode,
      outcome: answer.headers['x-sequoiarill-outcome'] as string | undefined,
      code: /"code":"(\w+)"/.exec(body)?.[1],
      body,
      retryAfter: answer.headers['retry-after'] as string | undefined,
    };
  } catch {
    return NO_ANSWER;
  }
}

/** Runs with the key, over all services: the truth that answers are compared with. */
export function countRuns(world: World, idempotencyKey: string): number {
  return world.services.reduce(
    (sum, service) => sum + (service.getCounters().runsByKey[idempotencyKey] ?? 0),
    0,
  );
}
