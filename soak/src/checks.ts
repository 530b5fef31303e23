/** Holds what callers and targets saw against what is promised; pure. */
import * as Standins from '@sequoiarill/standins';
import type { TargetRun } from '@sequoiarill/standins';

import * as Ledgers from './ledger';
import type { CallerView, Ledger, Probe, SentRequest } from './ledger';

export interface LifeRuns {
  /** Identity of one life of a target. */
  readonly target: string;
  readonly runs: readonly TargetRun[];
}

export interface Violation {
  readonly rule: string;
  readonly text: string;
}

export interface Evidence {
  readonly ledger: Ledger;
  readonly lives: readonly LifeRuns[];
  /** Events of a whole stream. */
  readonly eventCount: number;
  readonly organisation: string;
}

/** A change must be in force everywhere within this, milliseconds. */
const IN_FORCE_MS = 2_000;
/** New work may reach a leaving target for this long, milliseconds. */
const LEAVING_MS = 3_000;
const OK = 200;
const NOT_FOUND = 404;
const UNAUTHORISED = 401;
/** Statuses that promise that a request was not run and never will be. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export function formatAnswer({ id, kind, body, fromEvent }: SentRequest, count: number): string {
  if (kind === 'stream') return Standins.formatEvents(id, fromEvent, count);
  return `${id} got ${body}`;
}

function* checkAnswer(
  request: SentRequest,
  view: Extract<CallerView, { kind: 'answer' }>,
  count: number,
): Generator<Violation> {
  const { id, kind } = request;
  const expected = formatAnswer(request, count);
  if (view.status !== OK) return;
  if (!view.isSigned) yield { rule: 'whole', text: `${id}: an answer without a signature` };
  const isExact = view.isWhole ? view.text === expected : expected.startsWith(view.text);
  if (isExact) return;
  // Half an event may have arrived before a break.
  const rule = kind === 'stream' ? 'events' : 'whole';
  const seen = JSON.stringify(view.text.slice(-120));
  yield { rule, text: `${id}: ${view.isWhole ? 'whole' : 'broken'} answer ends with ${seen}` };
}

/** How often each request was begun, over all lives of all targets. */
function countRuns(lives: readonly LifeRuns[]): ReadonlyMap<string, number> {
  const runsById = new Map<string, number>();
  for (const { requestId } of lives.flatMap(({ runs }) => runs)) {
    runsById.set(requestId, (runsById.get(requestId) ?? 0) + 1);
  }
  return runsById;
}

function* checkOrder(id: string, view: CallerView | undefined, runs: number): Generator<Violation> {
  if (runs > 1) yield { rule: 'atMostOnce', text: `${id}: an order ran ${runs} times` };
  const isPromise = view?.kind === 'answer' && PROMISES.has(view.status);
  if (isPromise && runs > 0) {
    yield { rule: 'notRun', text: `${id}: refused with ${view.status}, and it ran` };
  }
}

function* checkRequests({ ledger, lives, eventCount }: Evidence): Generator<Violation> {
  const runsById = countRuns(lives);
  for (const [id, request] of ledger.requests) {
    const view = ledger.views.get(id);
    if (view?.kind === 'answer') yield* checkAnswer(request, view, eventCount);
    if (request.kind === 'order') yield* checkOrder(id, view, runsById.get(id) ?? 0);
  }
}

function* checkRuns({ ledger, lives, organisation }: Evidence): Generator<Violation> {
  for (const { requestId, path, organisation: owner, hasApiKey } of lives.flatMap(
    ({ runs }) => runs,
  )) {
    const isProbe = requestId.startsWith('probe-');
    if (!isProbe && !ledger.requests.has(requestId)) {
      yield { rule: 'unasked', text: `${requestId}: nobody sent it (${path})` };
    }
    if (hasApiKey) {
      yield { rule: 'unasked', text: `${requestId}: the API key was passed on` };
    }
    if (owner !== organisation) {
      yield { rule: 'unasked', text: `${requestId}: ran for ${owner}` };
    }
  }
}

function isRefused({ status }: Probe): boolean {
  return status === NOT_FOUND || status === UNAUTHORISED;
}

/** In force in time where nothing disturbed the router, and never back within one life. */
function* checkConfiguration({ ledger }: Evidence): Generator<Violation> {
  const newestServed = new Map<string, number>();
  for (const probe of ledger.probes) {
    const { router, life, version, atMs, writtenAtMs } = probe;
    const key = `${router} ${life}`;
    const served = newestServed.get(key) ?? 0;
    const name = `router ${router}, life ${life}, version ${version} at ${Math.round(atMs)} ms`;
    if (probe.status === OK) {
      if (version < served) yield { rule: 'reverts', text: `${name}: served after ${served}` };
      newestServed.set(key, Math.max(served, version));
    } else if (isRefused(probe) && probe.isNewest) {
      if (version <= served) {
        yield { rule: 'reverts', text: `${name}: refused after it was served` };
      }
      const calmSinceMs = Ledgers.computeCalmSince(ledger, atMs, router);
      if (atMs > Math.max(writtenAtMs, calmSinceMs) + IN_FORCE_MS) {
        yield {
          rule: 'inForce',
          text: `${name}: not in force ${Math.round(atMs - writtenAtMs)} ms`,
        };
      }
    }
  }
}

function* checkLeaving({ ledger, lives }: Evidence): Generator<Violation> {
  for (const { target, writtenAtMs } of ledger.leavings) {
    const runs = lives.find((life) => life.target === target)?.runs ?? [];
    for (const { requestId, startedAtMs } of runs) {
      const afterMs = startedAtMs - writtenAtMs;
      const calmSinceMs = Ledgers.computeCalmSince(ledger, startedAtMs);
      if (startedAtMs > Math.max(writtenAtMs, calmSinceMs) + LEAVING_MS) {
        yield {
          rule: 'leaving',
          text: `${requestId}: ran at ${target} ${Math.round(afterMs)} ms on`,
        };
      }
    }
  }
}

export function checkEvidence(evidence: Evidence): readonly Violation[] {
  return [checkRequests, checkRuns, checkConfiguration, checkLeaving].flatMap((check) => [
    ...check(evidence),
  ]);
}
