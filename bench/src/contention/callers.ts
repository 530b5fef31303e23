/** Callers with a patience, who come back once at another router. */
import * as Standins from '@sequoiarill/standins';
import * as Undici from 'undici';

import * as Configurations from './configuration';
import * as Records from './records';
import type { Attempt, AttemptOutcome, Caller } from './records';
import type { Arrival } from './scenarios';

/** A router to which the balancer sends callers. */
export interface ListedRouter {
  readonly router: number;
  readonly incarnation: number;
  readonly address: string;
}

export interface CallersOptions {
  readonly patienceMs: number;
  /** Prefers routers other than the given one. */
  readonly pickRouter: (except: number | undefined) => ListedRouter;
}

interface AttemptRequest {
  readonly id: string;
  readonly arrival: Arrival;
  readonly body: string;
  readonly deadlineMs: number;
  readonly fromEvent: number;
  readonly resumes: string | undefined;
}

const MS_PER_SECOND = 1_000;
/** Callers honour `Retry-After` up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
const EVENT_END = '\n\n';

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function createHeaders(request: AttemptRequest): Readonly<Record<string, string>> {
  const { id, arrival, body, deadlineMs, fromEvent, resumes } = request;
  const apiKey = Configurations.formatKey(arrival.organisation);
  const limitMs = Math.max(1, Math.round(deadlineMs - performance.now()));
  const resumeAfter = fromEvent > 1 ? fromEvent - 1 : undefined;
  return {
    ...Standins.createCallerHeaders({ requestId: id, apiKey, limitMs }),
    ...Standins.createStreamHeaders(body, resumeAfter, resumes),
    ...Configurations.createPromptHeaders(body),
  };
}

function getRetryAfterMs({ headers }: Undici.Dispatcher.ResponseData): number | undefined {
  const seconds = Number(headers['retry-after'] ?? Number.NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}

function getErrorCode(error: unknown): string {
  const { code, name } = error as NodeJS.ErrnoException;
  return code ?? name;
}

export function createCallers({ patienceMs, pickRouter }: CallersOptions) {
  // Each request has a connection of its own. A kept one may be closed by its router at the moment at which a
  // request is sent, which looks like a lost request.
  const agent = new Undici.Agent({ pipelining: 0, bodyTimeout: 0, headersTimeout: 0 });
  let callerCount = 0;

  async function sendAttempt(request: AttemptRequest, to: ListedRouter): Promise<Attempt> {
    const { id, arrival, body, deadlineMs, fromEvent } = request;
    const sentAtMs = performance.now();
    const leaving = new AbortController();
    const timer = setTimeout(() => leaving.abort(), Math.max(0, deadlineMs - sentAtMs));
    let firstEventAtMs: number | undefined;
    let text = '';

    async function readAnswer(answer: Undici.Dispatcher.ResponseData): Promise<boolean> {
      try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
          text += chunk.toString('utf8');
          if (answer.statusCode === Records.OK && text.includes(EVENT_END)) {
            firstEventAtMs ??= performance.now();
          }
        }
        return true;
      } catch {
        return false;
      }
    }

    async function readOutcome(): Promise<AttemptOutcome> {
      const path = Configurations.formatPath(arrival.route);
      try {
        const answer = await Undici.request(`http://${to.address}${path}`, {
          method: 'POST',
          dispatcher: agent,
          body,
          signal: leaving.signal,
          headers: createHeaders(request),
        });
        const isComplete = await readAnswer(answer);
        const { statusCode: status } = answer;
        return { kind: 'answer', status, retryAfterMs: getRetryAfterMs(answer), text, isComplete };
      } catch (error) {
        return { kind: 'noAnswer', code: getErrorCode(error) };
      }
    }

    const outcome = await readOutcome();
    clearTimeout(timer);
    const { router, incarnation } = to;
    const hasCallerLeft = leaving.signal.aborted;
    const endedAtMs = performance.now();
    return {
      id,
      router,
      incarnation,
      sentAtMs,
      fromEvent,
      firstEventAtMs,
      endedAtMs,
      hasCallerLeft,
      outcome,
    };
  }

  /** Time to wait before the second attempt; undefined where the caller does not come back. */
  function getReturnMs({ outcome, hasCallerLeft }: Attempt, leftMs: number): number | undefined {
    if (hasCallerLeft || leftMs <= 0) return undefined;
    if (outcome.kind === 'noAnswer' || !outcome.isComplete) return 0;
    if (outcome.status === Records.OK) return undefined;
    return Math.min(outcome.retryAfterMs ?? 0, leftMs * MAX_WAIT_SHARE);
  }

  return {
    async runCaller(arrival: Arrival): Promise<Caller> {
      callerCount += 1;
      const name = `c${callerCount}`;
      const body = `caller-${callerCount}`;
      const arrivedAtMs = performance.now();
      const deadlineMs = arrivedAtMs + patienceMs;
      const { route, organisation } = arrival;
      const common = { arrival, body, deadlineMs };
      const request = { ...common, id: `${name}-1`, fromEvent: 1, resumes: undefined };
      const first = await sendAttempt(request, pickRouter(undefined));
      const attempts = [first];
      const returnMs = getReturnMs(first, deadlineMs - performance.now());
      if (returnMs !== undefined) {
        await waitMs(returnMs);
        const text = first.outcome.kind === 'answer' ? first.outcome.text : '';
        const hasBegun = first.firstEventAtMs !== undefined;
        const received = hasBegun ? text.split(EVENT_END).length - 1 : 0;
        const next = {
          ...common,
          id: `${name}-2`,
          fromEvent: received + 1,
          resumes: hasBegun ? first.id : undefined,
        };
        attempts.push(await sendAttempt(next, pickRouter(first.router)));
      }
      return { route, organisation, arrivedAtMs, attempts };
    },
    close: () => agent.destroy(),
  };
}
