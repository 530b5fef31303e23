import { describe, it } from 'node:test';
import type { Socket } from 'node:net';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as Checks from '../../answers/answerChecks';
import * as CarriedCalls from '../carriedCalls';
import type { EngineCommand } from '../engineCalls';
import type { CallEvent, TargetCall } from '../targetCall';
import * as RawTargets from './rawTarget';
import type { RawTarget } from './rawTarget';

const WAIT_MS = 5_000;
const NAMES = Fakes.HEADER_NAMES;
const LATER_MS = Number.POSITIVE_INFINITY;

function formatAnswer(id: string | undefined, status = '200 OK', extra = ''): string {
  const echoed = id === undefined ? '' : `${NAMES.requestId}: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${echoed}${NAMES.signature}: s\r\n${extra}content-length: 2\r\n\r\n{}`;
}

const REFUSAL = formatAnswer('r1', '503 Full', `${NAMES.notRun}: 1\r\n`);

/** `listAnswers` is given the number of the request on its connection, from 1. */
async function runWithTarget(
  listAnswers: (number: number) => readonly string[],
  run: (target: RawTarget) => Promise<void>,
): Promise<void> {
  const counts = new WeakMap<Socket, number>();
  await RawTargets.runWithTarget((socket) => {
    const number = (counts.get(socket) ?? 0) + 1;
    counts.set(socket, number);
    socket.write(listAnswers(number).join(''));
  }, run);
}

function openRequest({ address, connections, openCall }: RawTarget, id: string): TargetCall {
  const target = { id: 't1', address, startedAtUnixMs: 1 };
  return openCall({
    connection: connections.takeConnection(target, { key: id, untilMs: LATER_MS }),
    findMismatch: (head, isFirst) => Checks.findMismatch(head, id, NAMES, isFirst),
  });
}

/** The status of the answer, or why there is none. */
async function readResult(call: TargetCall): Promise<number | string> {
  const events: CallEvent[] = [];
  for (;;) {
    const event = await call.readEvent(WAIT_MS);
    events.push(event);
    if (event.kind === 'broken') return event.reason;
    if (event.kind !== 'head' && event.kind !== 'data') break;
  }
  // Lets the connection become idle.
  await new Promise(setImmediate);
  const [first] = events;
  return first?.kind === 'head' ? first.head.status : (first?.kind ?? '');
}

describe('an answer that comes late, where that to the next call of its connection is due', () => {
  it('is not met by a request that is sent again, which goes over another connection', async () => {
    // Guards against a second refusal that has the id of the request, which is sent again and then runs.
    const listAnswers = (number: number) => [
      REFUSAL,
      ...(number === 1 ? [] : [formatAnswer('r1')]),
    ];
    await runWithTarget(listAnswers, async (target) => {
      expect(await readResult(openRequest(target, 'r1'))).toEqual(503);
      expect(await readResult(openRequest(target, 'r1'))).toEqual(503);
      expect(target.countConnections()).toEqual(2);
    });
  });

  it('costs no connection where other requests follow', async () => {
    const ids = ['r1', 'r2', 'r3', 'r4'];
    await runWithTarget(
      (number) => [formatAnswer(ids[number - 1])],
      async (target) => {
        for (const id of ids) expect(await readResult(openRequest(target, id))).toEqual(200);
        expect(target.countConnections()).toEqual(1);
      },
    );
  });

  it('closes its connection, also where it came whole in one piece', async () => {
    // Guards against a connection that goes back to the pool while the answer that was due is still to come.
    const listAnswers = (number: number) => [formatAnswer(number === 1 ? 'r1' : 'r9')];
    await runWithTarget(listAnswers, async (target) => {
      expect(await readResult(openRequest(target, 'r1'))).toEqual(200);
      expect(await readResult(openRequest(target, 'r2'))).toEqual('answer to another request');
      await target.waitClosed();
      await readResult(openRequest(target, 'r1'));
      expect(target.countConnections()).toEqual(2);
    });
  });

  it('refuses no request where it has no id', async () => {
    // Guards against the late refusal of a command of the router, which names no request.
    const refusal = formatAnswer(undefined, '503 Full', `${NAMES.notRun}: 1\r\n`);
    const listAnswers = (number: number) => [number === 1 ? formatAnswer('r1') : refusal];
    await runWithTarget(listAnswers, async (target) => {
      expect(await readResult(openRequest(target, 'r1'))).toEqual(200);
      expect(await readResult(openRequest(target, 'r2'))).toEqual('answer without a request id');
    });
  });

  it('may be without an id where nothing else can have been asked for', async () => {
    await runWithTarget(
      () => [formatAnswer(undefined, '421 Misdirected')],
      async (target) => {
        expect(await readResult(openRequest(target, 'r1'))).toEqual(421);
      },
    );
  });

  it('is no report where it answers a request', async () => {
    // Guards against the late answer to a caller's request that is read as the load of an engine.
    await runWithTarget(
      () => [formatAnswer('r1')],
      async (target) => {
        expect(await readResult(openRequest(target, 'r1'))).toEqual(200);
        const engine = Fakes.createTarget('t1', { address: target.address });
        const report = { method: 'GET', path: '/report', limitMs: WAIT_MS } as const;
        expect(await RawTargets.createCaller(target, NAMES)(engine, report)).toEqual(undefined);
      },
    );
  });

  it('costs no connection where reports and commands follow', async () => {
    await RawTargets.runWithTarget(
      (socket) => socket.write(formatAnswer(undefined)),
      async (target) => {
        const engine = Fakes.createTarget('t1', { address: target.address });
        const callEngine = RawTargets.createCaller(target, NAMES);
        const report: EngineCommand = { method: 'GET', path: '/report', limitMs: WAIT_MS };
        const copy: EngineCommand = { method: 'POST', path: '/copy', body: '{}', limitMs: WAIT_MS };
        for (const command of [report, copy, copy, report]) {
          expect((await callEngine(engine, command))?.text).toEqual('{}');
          await new Promise(setImmediate);
        }
        expect(target.countConnections()).toEqual(1);
      },
    );
  });
});

describe('what a connection remembers of its calls', () => {
  it('stays small however many it carries, and holds those that may come again', () => {
    // Guards against memory that grows for as long as a connection lives.
    const carried = CarriedCalls.createCarriedCalls();
    const long = { key: 'long', untilMs: 1_000_000 };
    carried.add(long, 0);
    for (let nowMs = 0; nowMs < 100_000; nowMs += 1) {
      carried.add({ key: `r${nowMs}`, untilMs: nowMs + 100 }, nowMs);
    }
    expect(carried.has(long)).toEqual(true);
    expect(carried.has({ key: 'r99950', untilMs: 0 })).toEqual(true);
    expect(carried.count()).toBeLessThan(500);
  });
});
