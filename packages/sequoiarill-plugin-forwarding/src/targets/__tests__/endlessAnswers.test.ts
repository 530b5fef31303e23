import { describe, it } from 'node:test';
import type { Socket } from 'node:net';

import { expect } from 'earl';

import * as Sending from '../../answers/sending';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { TargetCall } from '../targetCall';
import * as RawTargets from './rawTarget';
import type { RawTarget } from './rawTarget';

const WAIT_MS = 5_000;
const CHUNK = `1000\r\n${'x'.repeat(0x1000)}\r\n`;
const NOT_RUN = 'HTTP/1.1 503 Full\r\nnot-run: 1\r\n';

async function runWithTarget<Result>(
  answer: (socket: Socket) => void,
  run: (target: RawTarget) => Promise<Result>,
): Promise<Result> {
  const target = await RawTargets.startRawTarget(answer);
  try {
    return await run(target);
  } finally {
    await target.close();
  }
}

/** Reads the head of an answer that says that the request did not run. */
async function readRefusal(call: TargetCall) {
  const event = await call.readEvent(WAIT_MS);
  if (event.kind !== 'head') throw new Error(`the call ended with ${event.kind}`);
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  const request = Fakes.createRequest(Fakes.createRoute({}));
  const target = Fakes.createTarget('t1', { service: 'orders' });
  return Sending.handleAnswerHead(dependencies, request, target, call, event.head);
}

describe('a refusal whose body is not read', () => {
  it('has its connection closed where the body does not end', async () => {
    // Guards against connections that stay open, paused, after their requests have ended.
    const answer = (socket: Socket) => {
      socket.write(`${NOT_RUN}transfer-encoding: chunked\r\n\r\n`);
      RawTargets.writeEndless(socket, CHUNK);
    };
    const excesses = await runWithTarget(answer, async (target) => {
      expect((await readRefusal(target.openCall()))?.kind).toEqual('notRun');
      await target.waitClosed();
      return target.excesses;
    });
    expect(excesses.map(([phase]) => phase)).toEqual(['refusal']);
  });

  it('has its connection closed where the body does not come', async () => {
    const answer = (socket: Socket) => socket.write(`${NOT_RUN}content-length: 9\r\n\r\n`);
    await runWithTarget(answer, async (target) => {
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
    const connections = await runWithTarget(answer, async (target) => {
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
