import { describe, it } from 'node:test';

import type { ForwardingRoute } from '@sequoiarill/types';
import { expect } from 'earl';

import type { AnswerHead } from '../../forwardRequest';
import type { CallEvent } from '../../targets/targetCall';
import * as FullAnswers from '../fullAnswer';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { Script } from '../../__tests__/fakeDependencies';

const CHUNK = Buffer.alloc(65_536, 'x');
const DATA: CallEvent = { kind: 'data', chunk: CHUNK };
const END: CallEvent = { kind: 'end' };
const RESET: CallEvent = { kind: 'broken', reason: 'ECONNRESET' };
const ROUTE = {
  isStream: false,
  hasPrompt: false,
  retryPolicy: 'idempotent',
  maxTargets: 3,
} as const;

/** An answer of so many chunks, one each millisecond, and then the last event. */
function createAnswer(chunks: number, last: CallEvent, head: CallEvent = Fakes.createHead(200)) {
  const data = Array.from({ length: chunks }, (_item, index) => [11 + index, DATA] as const);
  return [[10, head], ...data, [12 + chunks, last]] as Script;
}

interface RunOptions {
  readonly scripts: readonly Script[];
  /** Time that the caller takes for each chunk. */
  readonly readMs?: number;
  readonly leavesAtMs?: number;
  readonly route?: Partial<ForwardingRoute>;
  readonly hasExited?: boolean;
}

async function runRequest(options: RunOptions) {
  const { scripts, readMs = 0, leavesAtMs } = options;
  const unsent = [...scripts];
  const fake = Fakes.createFakeDependencies(() => unsent.shift() ?? []);
  const target = { service: 'orders' };
  const targets = scripts.map((_script, index) => Fakes.createTarget(`o${index}`, target));
  fake.setTargets(targets);
  const breaks: unknown[] = [];
  const results: string[] = [];
  const heads: AnswerHead[] = [];
  const closed = new AbortController();
  const unread = { totalMs: 0, longestMs: 0 };
  let bytes = 0;
  const shares = [{ service: 'orders', weight: 1 }];
  const limits = { timeoutMs: 600, objectiveMs: 100, shares };
  const route = Fakes.createRoute({ ...ROUTE, ...limits, ...options.route });
  const { crashes, rollouts, getAdmission } = fake.dependencies;
  const latencies: (number | undefined)[] = [];
  const running = FullAnswers.runFullAnswer(
    {
      ...fake.dependencies,
      getAdmission: (service) => ({
        ...getAdmission(service),
        recordEnd: (_nowMs, answer) => latencies.push(answer?.latencyMs),
      }),
      rollouts: { ...rollouts, recordAttempt: () => (result) => results.push(result) },
      crashes: {
        ...crashes,
        hasExited: async () => options.hasExited ?? false,
        recordDisconnect: async ({ hasHead, ranMs }) => {
          breaks.push({ hasHead, ranMs });
        },
      },
    },
    {
      ...Fakes.createRequest(route),
      closed: closed.signal,
      sink: {
        start: (head) => heads.push(head),
        isStarted: () => heads.length > 0,
        async write(chunk) {
          bytes += chunk.length;
          await fake.clock.waitMs(readMs);
          unread.totalMs += readMs;
          unread.longestMs = Math.max(unread.longestMs, readMs);
        },
        getUnreadMs: () => unread,
      },
    },
  );
  if (leavesAtMs !== undefined) fake.clock.waitMs(leavesAtMs).then(() => closed.abort());
  await fake.clock.runFor(60_000);
  const outcome = await running;
  const states = targets.map((one) => fake.dependencies.registry.buildView(one).state);
  return { outcome, bytes, latencies, breaks, results, heads, states, calls: fake.sentCalls };
}

describe('a long plain answer', () => {
  it('is passed on to its end, at once where its declared length is above the limit', async () => {
    const declared = Fakes.createHead(200, { 'content-length': String(CHUNK.length * 5) });
    const runs = await Promise.all([
      runRequest({ scripts: [createAnswer(5, END)] }),
      runRequest({ scripts: [createAnswer(1, END, declared)] }),
    ]);
    const ends = runs.map(({ outcome, bytes, heads }) => [outcome.kind, bytes, heads.length]);
    expect(ends).toEqual([
      ['passed', CHUNK.length * 5, 1],
      ['passed', CHUNK.length, 1],
    ]);
    expect(runs[0]?.results[0]).toEqual('answered');
  });

  it('is held, and retried after a break, up to 256 KB', async () => {
    const scripts = [createAnswer(4, RESET), createAnswer(4, END)];
    const { outcome, heads, calls, breaks } = await runRequest({ scripts });
    expect([outcome.kind, heads.length, calls.length]).toEqual(['answer', 0, 2]);
    expect(breaks).toEqual([{ hasHead: false, ranMs: undefined }]);
  });

  it('is not retried once bytes are out, and its break counts once', async () => {
    // Guards against a second answer behind the first bytes of another one.
    const scripts = [createAnswer(6, RESET), createAnswer(6, END)];
    const { outcome, calls, breaks } = await runRequest({ scripts });
    expect([outcome.kind, calls.length]).toEqual(['broken', 1]);
    expect(breaks).toEqual([{ hasHead: true, ranMs: 3 }]);
  });

  it('is broken where its target falls silent, or exits and its close is the only end', async () => {
    // Guards against the connections of a killed process, which end as after a whole answer.
    const head = { ...Fakes.createHead(200).head, headers: { id: 'r1', signature: 's' } };
    const exited = createAnswer(6, END, { kind: 'head', head });
    const silent = createAnswer(6, DATA);
    const runs = [
      { scripts: [exited], hasExited: true },
      { scripts: [exited] },
      { scripts: [silent] },
    ];
    const kinds = [];
    for (const run of runs) kinds.push((await runRequest(run)).outcome.kind);
    expect(kinds).toEqual(['broken', 'passed', 'broken']);
  });

  it('reaches a slow caller after the time limit, and its target is not taken for a slow one', async () => {
    // Guards against callers cut off at their own pace, and against admission that learns from them.
    const { outcome, bytes } = await runRequest({ scripts: [createAnswer(20, END)], readMs: 900 });
    expect([outcome.kind, bytes]).toEqual(['passed', CHUNK.length * 20]);
  });

  it('leaves room for others at its service while slow callers read', async () => {
    // Guards against 503 for fast callers because a service looks full of answers that are already on the way.
    const scripts = [createAnswer(20, END)];
    const { latencies, bytes } = await runRequest({ scripts, readMs: 900 });
    expect([latencies, bytes]).toEqual([[15], CHUNK.length * 20]);
  });

  it('is not blamed on a target that breaks off what its caller leaves unread', async () => {
    const scripts = [createAnswer(6, RESET), createAnswer(6, END)];
    const { outcome, breaks, states, calls } = await runRequest({ scripts, readMs: 2_000 });
    expect([outcome.kind, breaks, calls.length]).toEqual(['unread', [], 1]);
    expect(states).toEqual(['healthy', 'healthy']);
  });

  it('ends at its target when its caller leaves, unless it must run to its end', async () => {
    const leaving = { scripts: [createAnswer(60, END)], leavesAtMs: 40 };
    const safe = await runRequest(leaving);
    expect([safe.outcome.kind, safe.calls[0]?.isCancelled]).toEqual(['callerLeft', true]);
    const once = await runRequest({ ...leaving, route: { retryPolicy: 'once' } });
    expect([once.outcome.kind, once.calls[0]?.isCancelled]).toEqual(['passed', false]);
  });

  it('is held whole where it is a server error that another target may answer', async () => {
    const failed = createAnswer(6, END, Fakes.createHead(500));
    const retried = await runRequest({ scripts: [failed, createAnswer(6, END)] });
    expect([retried.outcome.kind, retried.calls.length]).toEqual(['passed', 2]);
    const final = await runRequest({ scripts: [failed], route: { retryPolicy: 'once' } });
    const body = final.outcome.kind === 'answer' ? final.outcome.body.length : 0;
    expect([body, final.results[0]]).toEqual([CHUNK.length * 6, 'failed']);
    const declared = Fakes.createHead(500, { 'content-length': String(CHUNK.length * 20) });
    const scripts = [createAnswer(20, END, declared)];
    const long = await runRequest({ scripts, route: { retryPolicy: 'once' } });
    expect([long.outcome.kind, long.bytes]).toEqual(['passed', CHUNK.length * 20]);
  });

  it('is cut at once where it is an error whose body does not end', async () => {
    // Guards against memory that fills with errors, and against requests that last as long as their target sends.
    const scripts = [404, 500].map((status) => createAnswer(500, DATA, Fakes.createHead(status)));
    for (const script of scripts) {
      const retried = await runRequest({ scripts: [script, createAnswer(6, END)] });
      expect([retried.outcome.kind, retried.heads.length]).toEqual(['passed', 1]);
      expect([retried.calls[0]?.isCancelled, retried.calls[1]?.atMs ?? 999]).toEqual([true, 19]);
      const once = await runRequest({ scripts: [script], route: { retryPolicy: 'once' } });
      expect([once.outcome.kind, once.heads, once.calls.length]).toEqual(['failed', [], 1]);
    }
  });
});
