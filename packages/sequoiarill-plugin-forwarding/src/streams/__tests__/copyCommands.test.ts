import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as CopyCommands from '../copyCommands';
import type { EngineCommand } from '../../targets/engineCalls';
import * as Fakes from '../../__tests__/fakeDependencies';

describe('an order about a copy', () => {
  it('names the engine that it is meant for', async () => {
    // Guards against a target that has the address of an engine which is gone and works on the order.
    const sent: EngineCommand[] = [];
    const orders = CopyCommands.createCopyCommands(
      Kernel.createFakeWire(),
      async (_target, order) => {
        sent.push(order);
        return undefined;
      },
    );
    const engine = Fakes.createTarget('a1');
    await orders.createCopy(engine, 'r1', Fakes.createTarget('b1'));
    await orders.releaseCopy(engine, 'h1');
    const named: EngineCommand['headers'] = [[Fakes.HEADER_NAMES.expectedTarget, 'a1']];
    expect(sent.map(({ headers }) => headers)).toEqual([named, named]);
  });
});
