import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as CopyCommands from '../copyCommands';
import type { EngineCommand } from '../../targets/engineCalls';
import * as Fakes from '../../__tests__/fakeDependencies';

describe('copy commands', () => {
  it('carry the id of the engine that they are meant for', async () => {
    // Guards against a target that runs the command because it has the address of a removed engine.
    const sent: EngineCommand[] = [];
    const commands = CopyCommands.createCopyCommands(
      Kernel.createFakeWire(),
      async (_target, command) => {
        sent.push(command);
        return undefined;
      },
    );
    const engine = Fakes.createTarget('a1');
    await commands.createCopy(engine, 'r1', Fakes.createTarget('b1'));
    await commands.releaseCopy(engine, 'h1');
    const named: EngineCommand['headers'] = [[Fakes.HEADER_NAMES.expectedTarget, 'a1']];
    expect(sent.map(({ headers }) => headers)).toEqual([named, named]);
  });

  it('give no handle that was given for another run', async () => {
    // Guards against a late second response, by which a run would go on from the KV cache of another request.
    const handles = ['h1', 'h1', 'h1', 'h2'];
    const commands = CopyCommands.createCopyCommands(
      Kernel.createFakeWire({ decodeCopyHandle: (text) => text }),
      async () => ({
        head: { status: 200, statusMessage: '', headers: {} },
        text: handles.shift() ?? '',
      }),
    );
    const holder = Fakes.createTarget('b1');
    const createCopy = (runId: string) =>
      commands.createCopy(Fakes.createTarget('a1'), runId, holder);
    const results = [];
    for (const runId of ['r1', 'r1', 'r2', 'r2']) results.push(await createCopy(runId));
    expect(results).toEqual(['h1', 'h1', undefined, 'h2']);
  });
});
