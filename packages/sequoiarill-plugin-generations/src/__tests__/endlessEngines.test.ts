import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { EngineTarget } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Undici from 'undici';

import * as Attempts from '../attempt';
import type { AttemptResult } from '../attemptResults';
import * as EngineLoads from '../engineLoads';
import * as ServerSentEvents from '../serverSentEvents';

const LIMIT_MS = 200;
const MAX_BYTES = 64 * 1_048_576;
/** Bytes without a body: they take no memory, and the limits of the attempt bound them. */
const BODILESS: readonly string[] = ['chunkExtension'];
const TARGET = { name: 'engine-1', address: '' } as EngineTarget;

function createStream(text: string, part: string): Kernel.EndlessAnswer {
  const formatChunk = (chunk: string) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  const { start } = Kernel.ENDLESS_ANSWERS.body;
  return { start: start + (text === '' ? '' : formatChunk(text)), part: formatChunk(part) };
}

const TOKEN = 'data: {"choices":[{"text":"a","token_ids":[1]}]}\n\n';
const FINISH = 'data: {"choices":[{"text":"","token_ids":[],"finish_reason":"stop"}]}\n\n';

/** Another engine can go on with the attempt as soon as one is looked for. */
async function runAttempt(options: Kernel.EndlessServerOptions) {
  const server = await Kernel.startEndlessServer({ maxBytes: MAX_BYTES, ...options });
  const { getRunningMs } = Kernel.createSystemClock();
  const dispatcher = new Undici.Pool(`http://${server.address}`, {
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const attempt = Attempts.runAttempt({
    target: TARGET,
    pool: { dispatcher, origin: `http://${server.address}` },
    path: '/v1/completions',
    body: {},
    requestId: 'r1',
    fencingNumber: 1,
    limits: { firstTokenMs: LIMIT_MS, gapMs: LIMIT_MS },
    signal: new AbortController().signal,
    getRunningMs,
    startedMs: getRunningMs(),
    onFirstToken: () => undefined,
    onGap: () => undefined,
    openSilence: () => ({ canGiveUp: async () => true, takeOver: () => true }),
  });
  let result: AttemptResult | undefined;
  while (result === undefined) {
    const step = await attempt.next();
    if (step.done === true) result = step.value;
  }
  await server.waitUntilClosed();
  const bytes = server.getLargestBytes();
  await dispatcher.destroy();
  await server.stop();
  return { kind: result.kind, bytes };
}

describe('an engine that sends without end', () => {
  const forms: readonly (readonly [string, Kernel.EndlessServerOptions, AttemptResult['kind']])[] =
    [
      ...Object.entries(Kernel.ENDLESS_ANSWERS).map(
        ([name, answer]) => [name, { answer }, name === 'refusalBody' ? 'busy' : 'lost'] as const,
      ),
      ['a comment now and then', { answer: createStream(TOKEN, ': a\n\n'), pauseMs: 10 }, 'lost'],
      [
        'events without tokens',
        { answer: createStream(TOKEN, 'data: {}\n\n'), pauseMs: 10 },
        'lost',
      ],
      ['part of an event', { answer: createStream(TOKEN, 'data'), pauseMs: 10 }, 'lost'],
      [
        'comments after the end',
        { answer: createStream(FINISH, ': a\n\n'), pauseMs: 10 },
        'finished',
      ],
      [
        'a slow error body',
        { answer: { ...Kernel.ENDLESS_ANSWERS.errorBody, part: '1\r\n \r\n' }, pauseMs: 10 },
        'lost',
      ],
    ];
  for (const [name, options, kind] of forms) {
    it(`has its connection closed (${name})`, async () => {
      // Guards against bytes that are no tokens and pass for life, or take the memory of the process.
      const result = await runAttempt(options);
      expect(result.kind).toEqual(kind);
      expect(result.bytes < MAX_BYTES || BODILESS.includes(name)).toEqual(true);
    });
  }

  it('has no load, and its connection is closed', async () => {
    // Guards against load reports that take the memory of the process until they time out.
    const { body } = Kernel.ENDLESS_ANSWERS;
    const server = await Kernel.startEndlessServer({ answer: body, maxBytes: MAX_BYTES });
    const origin = `http://${server.address}`;
    const dispatcher = new Undici.Pool(origin);
    const load = await EngineLoads.readLoad({ dispatcher, origin }, AbortSignal.timeout(10_000));
    await server.waitUntilClosed();
    const bytes = server.getLargestBytes();
    await dispatcher.destroy();
    await server.stop();
    expect([load, bytes < MAX_BYTES]).toEqual([undefined, true]);
  });
});

describe('a long event of an engine', () => {
  it('is read whole wherever it is cut', () => {
    const bytes = Buffer.from('data: a\n\ndata: b\ndata: c\n\n\n: d\n\ndata: é\n\ndata');
    const whole = ServerSentEvents.createEventSplitter().addBytes(bytes);
    expect(whole).toEqual(['a', 'b\ndata: c', 'é']);
    for (let first = 0; first <= bytes.length; first += 1) {
      for (let second = first; second <= bytes.length; second += 1) {
        const { addBytes } = ServerSentEvents.createEventSplitter();
        const cuts = [
          bytes.subarray(0, first),
          bytes.subarray(first, second),
          bytes.subarray(second),
        ];
        expect(cuts.flatMap((cut) => [...(addBytes(cut) ?? [])])).toEqual([...(whole ?? [])]);
      }
    }
  });
});
