import type { Socket } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as RawTargets from './rawTarget';

const HEAD = 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 2\r\nx: yz\r\n\r\n';
const WHOLE = `${HEAD}ok`;
const HEADS: readonly (readonly [name: string, head: string])[] = [
  ['with a length', HEAD],
  ['without framing', 'HTTP/1.1 200 OK\r\nrequest-id: r1\r\nx: yz\r\n\r\n'],
  ['of chunks', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'],
  ['after an interim response', `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${HEAD}`],
  ['of HTTP/1.0', 'HTTP/1.0 200 OK\r\nrequest-id: r1\r\nx: yz\r\n\r\n'],
  ['of an empty body', 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'],
  ['of a refusal', 'HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n'],
];
const CLOSINGS: readonly (readonly [name: string, close: (socket: Socket) => void])[] = [
  ['in order', (socket) => socket.end()],
  ['with a reset', (socket) => socket.resetAndDestroy()],
];

/** Answers so many requests of each connection whole, and sends only the start of the next answer. */
function createCutAnswer(part: string, wholeAnswers: number, close: (socket: Socket) => void) {
  const counts = new WeakMap<Socket, number>();
  return (socket: Socket): void => {
    const count = counts.get(socket) ?? 0;
    counts.set(socket, count + 1);
    if (count < wholeAnswers) socket.write(WHOLE);
    else socket.write(part, () => close(socket));
  };
}

/** Events of the call whose answer was cut. */
async function listEvents(answer: (socket: Socket) => void, wholeAnswers: number) {
  return RawTargets.runWithTarget(answer, async (target) => {
    for (let count = 0; count < wholeAnswers; count += 1) {
      expect((await RawTargets.readToEnd(target.openCall()))[0]).toEqual('end');
    }
    const call = target.openCall();
    const kinds: string[] = [];
    for (;;) {
      const { kind } = await call.readEvent(5_000);
      kinds.push(kind);
      if (kind !== 'head' && kind !== 'data') return kinds;
    }
  });
}

describe('an answer whose target stops within its head', () => {
  for (const [name, head] of HEADS) {
    for (const [closing, close] of CLOSINGS) {
      it(`is no answer: a head ${name}, closed ${closing}`, async () => {
        // Guards against a head that is completed from what has arrived, and passed on with an empty body.
        for (const wholeAnswers of [0, 1]) {
          for (let cut = 0; cut < head.length; cut += 1) {
            const answer = createCutAnswer(head.slice(0, cut), wholeAnswers, close);
            expect([cut, await listEvents(answer, wholeAnswers)]).toEqual([cut, ['broken']]);
          }
        }
      });
    }
  }
});
