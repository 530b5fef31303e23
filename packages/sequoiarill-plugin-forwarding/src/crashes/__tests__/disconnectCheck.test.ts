import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as DisconnectChecks from '../disconnectCheck';
import type { ExitCheckResult } from '../exitCheck';
import * as Fakes from '../../__tests__/fakeDependencies';

async function countCrashes(
  exit: ExitCheckResult,
  reachesOthers: boolean,
  isBrittle = false,
): Promise<number> {
  const clock = Kernel.createFakeClock();
  let crashes = 0;
  const checkDisconnect = DisconnectChecks.createDisconnectCheck({
    clock,
    log: { logEvent: () => undefined },
    checkExit: async () => exit,
    checkOthers: async () => reachesOthers,
    isBrittle: () => isBrittle,
    recordCrash: (_run, isOfContent) => {
      if (isOfContent) crashes += 1;
    },
    runAsync: () => undefined,
  });
  const request = Fakes.createRequest(Fakes.createRoute());
  const target = Fakes.createTarget('a1');
  await checkDisconnect({ request, target, hasHead: true, ranMs: undefined });
  await clock.runFor(1_000);
  return crashes;
}

describe('a target that disconnects and refuses connections', () => {
  it('has crashed where this router reaches other targets', async () => {
    expect(await countCrashes('ended', true)).toEqual(1);
  });

  it('has not crashed where this router reaches no other target', async () => {
    // Guards against sound requests that a partitioned router has blocked on all routers.
    expect(await countCrashes('ended', false)).toEqual(0);
  });

  it('has not crashed by what it ran where it is brittle', async () => {
    // Guards against contents that are blocked because targets fell over for want of room.
    expect(await countCrashes('ended', true, true)).toEqual(0);
  });

  it('has not crashed where it still accepts connections or is silent', async () => {
    expect([await countCrashes('alive', true), await countCrashes('silent', true)]).toEqual([0, 0]);
  });
});
