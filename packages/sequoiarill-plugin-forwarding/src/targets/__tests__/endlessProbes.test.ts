import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import * as ContactChecks from '../contactCheck';
import * as TargetConnections from '../targetConnections';
import * as TargetProbes from '../targetProbe';
import type { TargetProbeOptions } from '../targetProbe';

/** What was on the way when the connection was closed, which takes up to a second. */
const MAX_BYTES = 4_096 * 1_048_576;
/** Answers that have no head. */
const HEADLESS: readonly string[] = ['interim', 'head'];

describe('a probe of a target whose answer never ends', () => {
  for (const [name, answer] of Object.entries(Kernel.ENDLESS_ANSWERS)) {
    it(`closes its connection, and takes no bytes without a head for an answer (${name})`, async () => {
      // Guards against status checks that read for ever, and against a target that looks sound because it is sending.
      const server = await Kernel.startEndlessServer({ answer, maxBytes: MAX_BYTES });
      const target = Fakes.createTarget('t1', { address: server.address });
      const clock = Kernel.createSystemClock();
      const connections = TargetConnections.createTargetConnections(clock);
      const options: TargetProbeOptions = {
        clock,
        wire: Kernel.createFakeWire({}),
        directory: { getConfiguration: () => undefined },
        connections,
        notices: { recordHead: () => undefined, recordStart: () => () => undefined },
      };
      const probe = await TargetProbes.createTargetProbe(options)(target);
      const readContact = TargetProbes.createContactProbe(options, ContactChecks.CONTACT_TIMEOUTS);
      const contact = await readContact(target);
      await server.waitUntilClosed();
      const openCount = connections.countOpen();
      const bytes = server.getLargestBytes();
      await server.stop();
      expect([openCount, bytes < MAX_BYTES]).toEqual([0, true]);
      const hasHead = !HEADLESS.includes(name);
      expect([probe === 'answered', contact === 'answers']).toEqual([hasHead, hasHead]);
    });
  }
});
