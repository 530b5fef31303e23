import * as Http from 'node:http';
import * as Net from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as ContactChecks from '../contactCheck';
import type { ContactCheckOptions, TargetContact } from '../contactCheck';
import * as OverheadMeters from '../overheadMeter';
import * as TargetConnections from '../targetConnections';
import * as TargetProbes from '../targetProbe';
import * as Fakes from '../../__tests__/fakeDependencies';

type ExitResult = Awaited<ReturnType<ContactCheckOptions['checkExit']>>;

const CHECK_MS = 30;
const TARGET = Fakes.createTarget('s1');

function createCheck(contact: TargetContact, exit: ExitResult = 'alive', isResting = false) {
  const clock = Kernel.createFakeClock();
  const calls: string[] = [];
  const check = ContactChecks.createContactCheck({
    clock,
    async readContact({ id }) {
      calls.push(`probe ${id}`);
      await clock.waitMs(CHECK_MS);
      return contact;
    },
    async checkExit() {
      calls.push('connect');
      return exit;
    },
    notices: { isResting: () => isResting },
  });
  async function runCheck(): Promise<TargetContact> {
    const result = check.checkContact(TARGET);
    await clock.runFor(CHECK_MS);
    return result;
  }
  return { clock, calls, check, runCheck };
}

describe('contact check of a target', () => {
  it('sends no probe to a target that has asked for rest', async () => {
    // Guards against probes during the time for which a target wants none.
    const cases: readonly [ExitResult, TargetContact][] = [
      ['alive', 'accepts'],
      ['ended', 'refuses'],
      ['silent', 'unreachable'],
    ];
    for (const [exit, contact] of cases) {
      const { calls, runCheck } = createCheck('answers', exit, true);
      expect(await runCheck()).toEqual(contact);
      expect(calls).toEqual(['connect']);
    }
  });

  it('shares one check among concurrent callers of a target', async () => {
    // Guards against a connection for each stream of an engine at the moment at which it falls silent.
    const { clock, calls, check } = createCheck('unreachable');
    const results = [check.checkContact(TARGET), check.checkContact(TARGET)];
    await clock.runFor(CHECK_MS / 2);
    results.push(check.checkContact(TARGET), check.checkContact(Fakes.createTarget('s2')));
    await clock.runFor(CHECK_MS);
    expect([...new Set(await Promise.all(results))]).toEqual(['unreachable']);
    expect(calls).toEqual(['probe s1', 'probe s2']);
  });

  it('checks a target that only accepts connections again after a pause', async () => {
    // Guards against connections of many checks that fill the accept queue of a paused process.
    const { clock, calls, runCheck } = createCheck('accepts');
    await runCheck();
    await clock.runFor(ContactChecks.ACCEPTS_TTL_MS - 2 * CHECK_MS);
    expect(await runCheck()).toEqual('accepts');
    expect(calls).toEqual(['probe s1']);
    await clock.runFor(CHECK_MS);
    expect(await runCheck()).toEqual('accepts');
    expect(calls).toEqual(['probe s1', 'probe s1']);
  });

  it('checks a target anew after each other result, and after a failure', async () => {
    // Guards against a contact of the past, or an internal error, that is returned later.
    for (const contact of ['answers', 'refuses', 'unreachable'] as const) {
      const { calls, runCheck } = createCheck(contact);
      expect([await runCheck(), await runCheck()]).toEqual([contact, contact]);
      expect(calls).toEqual(['probe s1', 'probe s1']);
    }
    let failures = 0;
    const failing = ContactChecks.createContactCheck({
      clock: Kernel.createFakeClock(),
      async readContact() {
        failures += 1;
        throw new Error('no socket');
      },
      checkExit: async () => 'alive',
      notices: { isResting: () => false },
    });
    await expect(failing.checkContact(TARGET)).toBeRejected();
    await expect(failing.checkContact(TARGET)).toBeRejected();
    expect(failures).toEqual(2);
  });
});

async function openServer(server: Net.Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('contact probe of a target', () => {
  const clock = Kernel.createSystemClock();
  const connections = TargetConnections.createTargetConnections(clock);
  const readContact = TargetProbes.createContactProbe(
    {
      clock,
      wire: { reportPath: '/load' },
      directory: { getConfiguration: () => undefined },
      connections,
      notices: { recordHead: () => undefined, recordStart: () => () => undefined },
    },
    ContactChecks.CONTACT_TIMEOUTS,
  );

  async function readFrom(server: Net.Server): Promise<TargetContact> {
    const address = await openServer(server);
    try {
      return await readContact(Fakes.createTarget('s1', { address }));
    } finally {
      server.close();
    }
  }

  it('tells a target that answers from one that only accepts connections', async () => {
    // Guards against giving up a paused process, whose kernel accepts connections, as one that terminated.
    const answering = Http.createServer((_request, response) => response.end());
    const sockets: Net.Socket[] = [];
    const accepting = Net.createServer((socket) => sockets.push(socket));
    expect(await readFrom(answering)).toEqual('answers');
    expect(await readFrom(accepting)).toEqual('accepts');
    sockets.forEach((socket) => socket.destroy());
  });

  it('tells a target that has terminated, also behind a proxy', async () => {
    // Guards against a stream that waits for a process that will not go on.
    const closed = Net.createServer();
    const address = await openServer(closed);
    await new Promise((resolve) => {
      closed.close(resolve);
    });
    expect(await readContact(Fakes.createTarget('s1', { address }))).toEqual('refuses');
    expect(await readFrom(Net.createServer((socket) => socket.destroy()))).toEqual('refuses');
  });

  it('counts an error of the path as out of reach', async () => {
    // Guards against a host without a route that is taken for a process that has terminated.
    const openConnection: TargetConnections.TargetConnections['openConnection'] = () => ({
      dispatch(_options, handler) {
        const error = Object.assign(new Error('no route'), { code: 'EHOSTUNREACH' });
        handler.onResponseError?.({} as never, error);
        return true;
      },
      wasReset: () => false,
      wasUsed: () => false,
      overhead: OverheadMeters.createOverheadMeter(),
      release: () => undefined,
      close: () => undefined,
    });
    const readUnrouted = TargetProbes.createContactProbe(
      {
        clock,
        wire: { reportPath: '/load' },
        directory: { getConfiguration: () => undefined },
        connections: { openConnection },
        notices: { recordHead: () => undefined, recordStart: () => () => undefined },
      },
      ContactChecks.CONTACT_TIMEOUTS,
    );
    expect(await readUnrouted(TARGET)).toEqual('unreachable');
  });
});
