import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Drains from '../drain';

const GRACE_MS = 8_000;
const ANSWER_MS = 100;

describe('a router that drains', () => {
  it('takes no request any more once it has begun to end', async () => {
    // Guards against a request on a connection that opens after the last one closed, begun and then cut by the exit.
    const clock = Kernel.createFakeClock();
    let connections = 1;
    const hadTimeAtEnd: boolean[] = [];
    const drain = Drains.createDrain({
      frontEnd: {
        countRequests: () => 0,
        countConnections: () => connections,
        closeIdle: () => undefined,
        stopListening: () => hadTimeAtEnd.push(drain.hasTimeFor(ANSWER_MS)),
      },
      refuseWaiting: () => undefined,
      endRequests: () => hadTimeAtEnd.push(drain.hasTimeFor(ANSWER_MS)),
      clock,
      graceMs: GRACE_MS,
    });
    let hasEnded = false;
    const draining = drain.drain().then(() => {
      hasEnded = true;
    });
    await clock.runFor(3_000);
    expect(drain.hasTimeFor(ANSWER_MS)).toEqual(true);
    connections = 0;
    for (let steps = 0; steps < 100 && !hasEnded; steps += 1) await clock.runFor(10);
    await draining;
    expect(hadTimeAtEnd).toEqual([false, false]);
    expect(clock.getNowMs()).toBeLessThan(GRACE_MS / 2);
  });
});
