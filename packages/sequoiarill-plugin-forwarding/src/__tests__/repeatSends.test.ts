import { afterEach, describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { PluginContext } from '@sequoiarill/types';
import { expect } from 'earl';

import * as CallOpeners from '../callOpeners';
import * as RawTargets from '../targets/__tests__/rawTarget';
import type { RawTarget } from '../targets/__tests__/rawTarget';
import type { TargetCall } from '../targets/targetCall';
import * as Fakes from './fakeDependencies';

const ANSWER = 'HTTP/1.1 200 OK\r\nid: r1\r\nsignature: s\r\ncontent-length: 0\r\n\r\n';
const WAIT_MS = 2_000;

let target: RawTarget | undefined;

afterEach(async () => {
  await target?.close();
});

/** Opens a call to a target that handles it so, and counts the sends that the budget has not seen end. */
async function openRepeat(
  answer: Parameters<typeof RawTargets.startRawTarget>[0],
  isRepeat = true,
): Promise<{ readonly call: TargetCall; readonly countOpen: () => number }> {
  target = await RawTargets.startRawTarget(answer);
  const { address, connections } = target;
  const open = new Set<object>();
  const context = {
    clock: Kernel.createFakeClock(),
    getCapability: () => Kernel.createFakeWire(),
  } as unknown as PluginContext;
  const openCall = CallOpeners.createCallOpener(context, {
    connections,
    limits: { recordSend: () => undefined },
    notices: {
      recordHead: () => undefined,
      recordStart: () => () => undefined,
      createExcessRecord: () => () => undefined,
    },
    getBudget: () => ({
      recordSend() {
        const send = {};
        open.add(send);
        return () => open.delete(send);
      },
    }),
  });
  const request = Fakes.createRequest(Fakes.createRoute({ isStream: false, hasPrompt: false }));
  const terms = { extraHeaders: [], isRepeat };
  const call = openCall(request, Fakes.createTarget('t1', { address }), terms);
  return { call, countOpen: () => open.size };
}

describe('a repeat that is sent to a target', () => {
  // Guards against repeats that are read after the window in which they were taken, and count no more by then.
  it('counts until the target answers', async () => {
    const { call, countOpen } = await openRepeat((socket) => socket.write(ANSWER));
    expect(countOpen()).toEqual(1);
    expect((await call.readEvent(WAIT_MS)).kind).toEqual('head');
    expect(countOpen()).toEqual(0);
    call.cancel();
  });

  it('counts until its connection breaks', async () => {
    const { call, countOpen } = await openRepeat((socket) => socket.resetAndDestroy());
    expect(countOpen()).toEqual(1);
    expect((await call.readEvent(WAIT_MS)).kind).toEqual('broken');
    expect(countOpen()).toEqual(0);
  });

  it('counts until it is given up', async () => {
    const { call, countOpen } = await openRepeat(() => undefined);
    expect(countOpen()).toEqual(1);
    call.cancel();
    expect(countOpen()).toEqual(0);
  });

  it('is told from a first send, which does not count', async () => {
    const { call, countOpen } = await openRepeat(() => undefined, false);
    expect(countOpen()).toEqual(0);
    call.cancel();
  });
});
