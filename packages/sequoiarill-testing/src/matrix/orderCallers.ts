/** Callers of plain services in the tests of the fault matrix. */
import * as Crypto from 'node:crypto';

import * as Demo from '@sequoiarill/demo';
import * as Undici from 'undici';

import * as Callers from './callers';
import type { Deployment } from './deployment';

export interface OrderAnswer {
  readonly status: number;
  /** Value of `x-sequoiarill-outcome`; undefined if the connection broke. */
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
  /** Delays the second half of the body until it resolves. */
  readonly released?: Promise<void>;
}

export function createIdempotencyKey(): string {
  return Crypto.randomUUID();
}

/** Sends one order; returns `NO_ANSWER` if the connection breaks. */
export async function sendOrder(options: OrderOptions): Promise<OrderAnswer> {
  const { agent, released } = options;
  const delaying = released && Callers.createDelayingDispatcher(agent, released);
  const dispatcher = delaying ?? agent;
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

/** Counts the runs with the key over all services, as the reference for the reported outcomes. */
export function countRuns(deployment: Deployment, idempotencyKey: string): number {
  return deployment.services.reduce(
    (sum, service) => sum + (service.getCounters().runsByKey[idempotencyKey] ?? 0),
    0,
  );
}
