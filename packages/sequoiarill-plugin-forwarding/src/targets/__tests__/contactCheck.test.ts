import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as ContactChecks from '../contactCheck';
import type { ContactCheckOptions, TargetContact } from '../contactCheck';
import * as Fakes from '../../__tests__/fakeDependencies';

type ExitResult = Awaited<ReturnType<ContactCheckOptions['checkExit']>>;
type ProbeResult = Awaited<ReturnType<ContactCheckOptions['checkAnswer']>>;

const CONNECT_MS = 2;
const PROBE_MS = 30;
const TARGET = Fakes.createTarget('s1');

function createCheck(exit: ExitResult, probe: ProbeResult, isResting = false) {
  const clock = Kernel.createFakeClock();
  const calls: string[] = [];
  const check = ContactChecks.createContactCheck({
    async checkExit({ id }) {
      calls.push(`connect ${id}`);
      await clock.waitMs(CONNECT_MS);
      return exit;
    },
    async checkAnswer({ id }) {
      calls.push(`probe ${id}`);
      await clock.waitMs(PROBE_MS);
      return probe;
    },
    notices: { isResting: () => isResting },
  });
  return { clock, calls, check };
}

async function runCheck(exit: ExitResult, probe: ProbeResult, isResting = false) {
  const { clock, calls, check } = createCheck(exit, probe, isResting);
  const result = check.checkContact(TARGET);
  await clock.runFor(CONNECT_MS + PROBE_MS);
  return { contact: await result, calls };
}

describe('contact check of a target', () => {
  const cases: readonly [ExitResult, ProbeResult, TargetContact][] = [
    ['alive', 'answered', 'answers'],
    ['alive', 'silent', 'accepts'],
    ['alive', 'closed', 'refuses'],
  ];
  for (const [exit, probe, contact] of cases) {
    it(`says ${contact} of a target that accepts, where the probe was ${probe}`, async () => {
      // Guards against giving up a paused process, which accepts connections, as one that terminated.
      expect((await runCheck(exit, probe)).contact).toEqual(contact);
    });
  }

  it('sends no probe to a target that has terminated or is not reached', async () => {
    // Guards against a dead target whose streams wait for the timeout of a probe as well.
    const ended = await runCheck('ended', 'silent');
    const silent = await runCheck('silent', 'silent');
    expect([ended.contact, silent.contact]).toEqual(['refuses', 'unreachable']);
    expect([...ended.calls, ...silent.calls]).toEqual(['connect s1', 'connect s1']);
  });

  it('sends no probe to a target that has asked for rest', async () => {
    // Guards against probes during the time for which a target wants none.
    const { contact, calls } = await runCheck('alive', 'answered', true);
    expect(contact).toEqual('accepts');
    expect(calls).toEqual(['connect s1']);
  });

  it('shares one check among concurrent callers of a target', async () => {
    // Guards against a connection for each stream of an engine at the moment at which it falls silent.
    const { clock, calls, check } = createCheck('alive', 'silent');
    const results = [check.checkContact(TARGET), check.checkContact(TARGET)];
    await clock.runFor(CONNECT_MS + 1);
    results.push(check.checkContact(TARGET), check.checkContact(Fakes.createTarget('s2')));
    await clock.runFor(2 * (CONNECT_MS + PROBE_MS));
    expect(await Promise.all(results)).toEqual(['accepts', 'accepts', 'accepts', 'accepts']);
    expect(calls).toEqual(['connect s1', 'probe s1', 'connect s2', 'probe s2']);
  });

  it('checks a target anew after a check has ended or failed', async () => {
    // Guards against a contact of the past, or an internal error, that is returned forever.
    const { clock, calls, check } = createCheck('ended', 'silent');
    const first = check.checkContact(TARGET);
    await clock.runFor(CONNECT_MS);
    await first;
    const second = check.checkContact(TARGET);
    await clock.runFor(CONNECT_MS);
    await second;
    expect(calls).toEqual(['connect s1', 'connect s1']);

    let failures = 0;
    const failing = ContactChecks.createContactCheck({
      checkExit: async () => {
        failures += 1;
        throw new Error('no socket');
      },
      checkAnswer: async () => 'silent',
      notices: { isResting: () => false },
    });
    await expect(failing.checkContact(TARGET)).toBeRejected();
    await expect(failing.checkContact(TARGET)).toBeRejected();
    expect(failures).toEqual(2);
  });
});
