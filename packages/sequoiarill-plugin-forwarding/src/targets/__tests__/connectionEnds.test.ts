import { describe, it } from 'node:test';
import type { Socket } from 'node:net';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { EngineCommand } from '../engineCalls';
import * as RawTargets from './rawTarget';

const WAIT_MS = 5_000;
const UNFRAMED = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const CHUNKED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
const TRIES = 20;
/** On both sides of one read of a socket, and of the bytes that are held for a caller. */
const SIZES = [1, 600, 65_000, 65_536, 66_000, 262_144, 262_145, 600_000];

type Answer = (socket: Socket) => void;

/** Kinds of the events by which as many answers ended. */
async function listEnds(answer: Answer): Promise<readonly string[]> {
  return RawTargets.runWithTarget(answer, async (target) => {
    const ends = new Set<string>();
    for (let tries = 0; tries < TRIES; tries += 1) {
      ends.add((await RawTargets.readToEnd(target.openCall()))[0]);
    }
    return [...ends];
  });
}

/** Sends the first bytes, and then the last ones in one piece with the end of the connection. */
function createAnswer(first: string, last: string, close: (socket: Socket) => void): Answer {
  return (socket) => {
    socket.write(first, () => {
      socket.write(last);
      close(socket);
    });
  };
}

const reset = (socket: Socket) => socket.resetAndDestroy();
const end = (socket: Socket) => socket.end();

describe('an answer that ends with its connection', () => {
  it('is broken where a reset comes together with its last bytes', async () => {
    // Guards against a reset that Node.js reports as an orderly end, which completes an answer without framing.
    for (const size of SIZES) {
      const body = 'x'.repeat(size);
      expect([size, await listEnds(createAnswer(UNFRAMED, body, reset))]).toEqual([
        size,
        ['broken'],
      ]);
      expect([size, await listEnds(createAnswer('', UNFRAMED + body, reset))]).toEqual([
        size,
        ['broken'],
      ]);
    }
  });

  it('is whole where its connection ends in order', async () => {
    for (const size of SIZES) {
      const answer = createAnswer(UNFRAMED, 'x'.repeat(size), end);
      const result = await RawTargets.runWithTarget(answer, (target) =>
        RawTargets.readToEnd(target.openCall()),
      );
      expect(result).toEqual(['end', size]);
    }
  });

  it('is broken where its framing is incomplete, however the connection ends', async () => {
    // Guards against an end of the connection, announced by its head, that completes a chunked body.
    const withLength = UNFRAMED.replace('\r\n\r\n', '\r\ncontent-length: 9\r\n\r\n');
    for (const close of [end, reset]) {
      expect(await listEnds(createAnswer(CHUNKED, '5\r\nhello\r\n', close))).toEqual(['broken']);
      expect(await listEnds(createAnswer(CHUNKED, '5\r\nhel', close))).toEqual(['broken']);
      expect(await listEnds(createAnswer(withLength, 'hello', close))).toEqual(['broken']);
    }
  });
});

describe('a call of the router itself whose response ends with its connection', () => {
  it('has no response where the connection is reset with the last bytes', async () => {
    // Guards against a part of a report that is read as a whole one.
    const answer = createAnswer(UNFRAMED, '{"running":1}', reset);
    await RawTargets.runWithTarget(answer, async (target) => {
      let broken = 0;
      const command: EngineCommand = {
        method: 'GET',
        path: '/report',
        limitMs: WAIT_MS,
        recordBroken() {
          broken += 1;
        },
      };
      const callEngine = RawTargets.createCaller(target, { requestId: 'id' });
      const engine = Fakes.createTarget('t1', { address: target.address });
      for (let tries = 0; tries < TRIES; tries += 1) {
        expect(await callEngine(engine, command)).toEqual(undefined);
      }
      expect(broken).toEqual(TRIES);
    });
  });
});
