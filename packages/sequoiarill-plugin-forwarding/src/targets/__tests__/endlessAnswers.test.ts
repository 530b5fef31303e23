import { describe, it } from 'node:test';
import type { Socket } from 'node:net';

import { expect } from 'earl';

import * as Sending from '../../answers/sending';
import * as Fakes from '../../__tests__/fakeDependencies';
import * as EngineCalls from '../engineCalls';
import * as TargetCalls from '../targetCall';
import type { TargetCall } from '../targetCall';
import * as RawTargets from './rawTarget';

const WAIT_MS = 5_000;
const CHUNK = `1000\r\n${'x'.repeat(0x1000)}\r\n`;
const NOT_RUN = 'HTTP/1.1 503 Full\r\nnot-run: 1\r\n';

/** Reads the head of an answer that says that the request did not run. */
async function readRefusal(call: TargetCall) {
  const event = await call.readEvent(WAIT_MS);
  if (event.kind !== 'head') throw new Error(`the call ended with ${event.kind}`);
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  const request = Fakes.createRequest(Fakes.createRoute({}));
  const target = Fakes.createTarget('t1', { service: 'orders' });
  return Sending.handleAnswerHead(dependencies, request, target, call, event.head);
}

const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';

describe('a target that sends bytes that are no answer', () => {
  /** What comes first, and what never ends; where it is cut, by phase, and how the call ends. */
  const forms: readonly (readonly [string, string, string, string, string])[] = [
    ['interim responses', '', INTERIM, 'interim', 'broken'],
    ['empty lines before the head', '', '\r\n'.repeat(512), 'head', 'broken'],
    ['a status line', 'HTTP/1.1 200 ', 'x'.repeat(1_024), 'head', 'broken'],
    ['the extension of a chunk', `${CHUNKED}1;a=`, 'x'.repeat(1_024), 'framing', 'broken'],
    ['empty lines after an answer', `${CHUNKED}1\r\nx\r\n0\r\n\r\n`, '\r\n'.repeat(512), '', 'end'],
  ];
  for (const [name, start, rest, phase, end] of forms) {
    it(`has its connection closed soon: ${name}`, async () => {
      // Guards against connections that carry bytes for as long as a request, or the router, lasts.
      const answer = (socket: Socket) => {
        socket.write(start);
        RawTargets.writeEndless(socket, rest);
      };
      await RawTargets.runWithTarget(answer, async (target) => {
        const [kind] = await RawTargets.readToEnd(target.openCall());
        await target.waitClosed();
        expect([kind, target.excesses.map(([one]) => one)]).toEqual([
          end,
          phase === '' ? [] : [phase],
        ]);
      });
    });
  }

  it('is cut for header fields and trailers by the HTTP client', async () => {
    for (const start of ['HTTP/1.1 200 OK\r\n', `${CHUNKED}0\r\n`]) {
      const answer = (socket: Socket) => {
        socket.write(start);
        RawTargets.writeEndless(socket, 'a-field: value\r\n'.repeat(64));
      };
      await RawTargets.runWithTarget(answer, async (target) => {
        const [kind] = await RawTargets.readToEnd(target.openCall());
        await target.waitClosed();
        expect(kind).toEqual('broken');
      });
    }
  });
});

describe('an answer whose deadline has passed', () => {
  const clock = { getNowMs: () => 1_000, getRunningMs: () => 1_000 };
  const deadlines = { silenceDeadlineMs: Number.POSITIVE_INFINITY, expiresAtMs: 900 };

  async function readLate(answer: (socket: Socket) => void): Promise<readonly [string, number]> {
    return RawTargets.runWithTarget(answer, async (target) => {
      const call = target.openCall();
      let bytes = 0;
      const head = await call.readEvent(WAIT_MS);
      if (head.kind !== 'head') return [head.kind, bytes];
      // Sent in time, read late.
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      for (;;) {
        const event = await TargetCalls.readNextEvent(clock, call, deadlines);
        if (event.kind !== 'data') return [event.kind, bytes];
        bytes += event.chunk.length;
      }
    });
  }

  it('ends also while data keeps arriving', async () => {
    // Guards against calls that last as long as their target sends.
    const [kind, bytes] = await readLate((socket) => {
      socket.write(CHUNKED);
      RawTargets.writeEndless(socket, CHUNK);
    });
    expect([kind, bytes < 2_000_000]).toEqual(['timeout', true]);
  });

  it('is taken where it arrived in time', async () => {
    const size = 500_000;
    const head = `HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n`;
    const result = await readLate((socket) => socket.write(head + 'x'.repeat(size)));
    expect(result).toEqual(['end', size]);
  });
});

describe('a call of the router itself', () => {
  it('is cut where its answer is too long, whatever its time limit', async () => {
    // Guards against reports and listings of which a router collects gigabytes.
    const answer = (socket: Socket) => {
      socket.write(CHUNKED);
      RawTargets.writeEndless(socket, CHUNK.repeat(16));
    };
    await RawTargets.runWithTarget(answer, async ({ connections, address, waitClosed }) => {
      const excesses: string[] = [];
      const callEngine = EngineCalls.createEngineCaller(
        { getNowMs: () => performance.now(), getRunningMs: () => performance.now() },
        connections,
        {
          recordHead: () => undefined,
          recordStart: () => () => undefined,
          createExcessRecord: () => (phase) => excesses.push(phase),
          isResting: () => false,
        },
        { requestId: 'id' },
      );
      let isBroken = false;
      const response = await callEngine(Fakes.createTarget('e1', { address }), {
        method: 'GET',
        path: '/report',
        limitMs: 600_000,
        recordBroken() {
          isBroken = true;
        },
      });
      await waitClosed();
      expect([response, isBroken, excesses]).toEqual([undefined, true, ['report']]);
    });
  });
});

describe('a body in chunks of one byte', () => {
  it('fills no memory while it is not read', async () => {
    // Guards against objects for each chunk that take many times the bytes that may be buffered.
    const size = 200_000;
    let heldBytes = 0;
    const held = {
      addAnswerBytes(bytes: number) {
        heldBytes += bytes;
      },
      mayReadAhead: () => true,
    };
    const answer = (socket: Socket) =>
      socket.write(`${CHUNKED}${'1\r\nx\r\n'.repeat(size)}0\r\n\r\n`);
    await RawTargets.runWithTarget(answer, async (target) => {
      const call = target.openCall({ held });
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
      // A paused connection counts with the buffer of its socket.
      expect(heldBytes - 131_072).toBeLessThan(4_200);
      expect(await RawTargets.readToEnd(call)).toEqual(['end', size]);
    });
  });
});

describe('an unusual answer that is sound', () => {
  const size = 200_000;
  const forms: readonly (readonly [string, string, number])[] = [
    [
      'after many interim responses',
      `${INTERIM.repeat(100)}HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx`,
      1,
    ],
    ['in chunks of one byte', `${CHUNKED}${'00000001\r\nx\r\n'.repeat(size)}0\r\n\r\n`, size],
    [
      'of many megabytes',
      `HTTP/1.1 200 OK\r\ncontent-length: ${size * 200}\r\n\r\n${'x'.repeat(size * 200)}`,
      size * 200,
    ],
  ];
  for (const [name, answer, bytes] of forms) {
    it(`is read whole ${name}`, async () => {
      // Guards against limits on what is no body that cut true answers.
      await RawTargets.runWithTarget(
        (socket) => socket.write(answer),
        async (target) => {
          expect(await RawTargets.readToEnd(target.openCall())).toEqual(['end', bytes]);
          expect(await RawTargets.readToEnd(target.openCall())).toEqual(['end', bytes]);
          expect([target.excesses, target.countConnections()]).toEqual([[], 1]);
        },
      );
    });
  }
});

describe('a refusal whose body is not read', () => {
  it('has its connection closed where the body does not end', async () => {
    // Guards against connections that stay open, paused, after their requests have ended.
    const answer = (socket: Socket) => {
      socket.write(`${NOT_RUN}transfer-encoding: chunked\r\n\r\n`);
      RawTargets.writeEndless(socket, CHUNK);
    };
    const excesses = await RawTargets.runWithTarget(answer, async (target) => {
      expect((await readRefusal(target.openCall()))?.kind).toEqual('notRun');
      await target.waitClosed();
      return target.excesses;
    });
    expect(excesses.map(([phase]) => phase)).toEqual(['refusal']);
  });

  it('has its connection closed where the body does not come', async () => {
    const answer = (socket: Socket) => socket.write(`${NOT_RUN}content-length: 9\r\n\r\n`);
    await RawTargets.runWithTarget(answer, async (target) => {
      expect((await readRefusal(target.openCall()))?.kind).toEqual('notRun');
      await target.waitClosed();
    });
  });

  it('leaves its connection to the next request where the body ends', async () => {
    // Guards against a new connection for each request that a full target refuses.
    const answer = (socket: Socket) => {
      socket.write(`${NOT_RUN}content-length: 4\r\n\r\n`);
      setTimeout(() => socket.write('full'), 20);
    };
    const connections = await RawTargets.runWithTarget(answer, async (target) => {
      await readRefusal(target.openCall());
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      await readRefusal(target.openCall());
      return target.countConnections();
    });
    expect(connections).toEqual(1);
  });
});
