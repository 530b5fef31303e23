/** Reads the decision journal of a request from a router. */
import * as Undici from 'undici';

import type { FleetRouter } from './fleet';

export interface JournalEntry {
  readonly kind: string;
  readonly elapsedMs: number;
  readonly details: {
    readonly target?: string;
    readonly tokensGiven?: number;
  };
}

export async function readJournal(
  router: FleetRouter,
  requestId: string,
): Promise<readonly JournalEntry[]> {
  const response = await Undici.request(`http://${router.operators}/explain/${requestId}`);
  const body = (await response.body.json()) as { readonly entries?: readonly JournalEntry[] };
  return body.entries ?? [];
}

/** Finds the index of the engine that runs the request now. */
export async function findEngine(router: FleetRouter, requestId: string): Promise<number> {
  const entries = await readJournal(router, requestId);
  const target = entries.filter(({ kind }) => kind === 'dispatched').at(-1)?.details.target;
  if (target === undefined) throw new Error(`no engine got request ${requestId}`);
  return Number(target.split('-').at(-1)) - 1;
}
