import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { CommandOutput } from '../commandOutput';
import * as Explain from '../explain';
import * as State from '../state';

interface RecordingOutput extends CommandOutput {
  readonly printed: string[];
  readonly errors: string[];
  readonly codes: number[];
}

function createRecordingOutput(): RecordingOutput {
  const printed: string[] = [];
  const errors: string[] = [];
  const codes: number[] = [];
  return {
    printed,
    errors,
    codes,
    print: (text) => printed.push(text),
    printError: (text) => errors.push(text),
    setExitCode: (code) => codes.push(code),
  };
}

/** Starts an operator listener with fixed response bodies by path; other paths return 404. */
async function startListener(bodies: Readonly<Record<string, unknown>>): Promise<{
  readonly server: Server;
  readonly address: string;
}> {
  const server = createServer((request, response) => {
    const body = bodies[request.url ?? ''];
    response.writeHead(body === undefined ? 404 : 200, { connection: 'close' });
    response.end(JSON.stringify(body ?? { error: { code: 'notFound', message: 'not here' } }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

describe('state command', () => {
  it('prints aligned text, or JSON on request', async () => {
    const dump = { phase: 'ready', plugins: { platform: { revision: 7, away: false, peers: [] } } };
    const { server, address } = await startListener({ '/state': dump });
    const output = createRecordingOutput();
    await State.createStateCommand(output).parseAsync(['--at', address], { from: 'user' });
    await State.createStateCommand(output).parseAsync(['--at', address, '--json'], {
      from: 'user',
    });
    server.close();
    expect(output.printed[0]?.split('\n')).toEqual([
      'phase  ready',
      'plugins',
      '  platform',
      '    revision  7',
      '    away      false',
      '    peers     none',
    ]);
    expect(JSON.parse(output.printed[1] ?? '')).toEqual(dump);
  });

  it('reports an unreachable address and exits with 1', async () => {
    const { server, address } = await startListener({});
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const output = createRecordingOutput();
    await State.createStateCommand(output).parseAsync(['--at', address], { from: 'user' });
    expect(output.errors[0] ?? '').toInclude(`cannot reach ${address}`);
    expect(output.codes).toEqual([1]);
  });
});

describe('explain command', () => {
  it('merges the decisions of several routers in order of time', async () => {
    // The first router crashed during the response and restarted, the caller resumed at a second
    // one, and a third one never received the request; an operator queries all of them.
    const first = {
      requestId: 'r-1',
      process: 'router-1',
      entries: [
        {
          kind: 'accepted',
          at: '2026-01-01T00:00:00Z',
          elapsedMs: 0,
          reason: 'key ok',
          details: {},
        },
        {
          kind: 'targetChosen',
          at: '2026-01-01T00:00:01Z',
          elapsedMs: 1000,
          reason: 'shortest wait',
          details: { target: 'e1', considered: 3 },
        },
      ],
    };
    const second = {
      requestId: 'r-1',
      process: 'router-2',
      entries: [
        {
          kind: 'resumed',
          at: '2026-01-01T00:00:09Z',
          elapsedMs: 0,
          reason: 'cursor',
          details: {},
        },
      ],
    };
    const listeners = [
      await startListener({ '/explain/r-1': second }),
      await startListener({}),
      await startListener({ '/explain/r-1': first }),
    ];
    const output = createRecordingOutput();
    const at = listeners.map(({ address }) => address).join(',');
    await Explain.createExplainCommand(output).parseAsync(['r-1', '--at', at], { from: 'user' });
    listeners.forEach(({ server }) => server.close());
    expect(output.codes).toEqual([]);
    expect(output.printed[0]?.split('\n')).toEqual([
      'request r-1 at router-1, from 2026-01-01T00:00:00Z',
      '     0 ms  accepted      key ok',
      '  1000 ms  targetChosen  shortest wait',
      '                         target=e1, considered=3',
      '',
      'request r-1 at router-2, from 2026-01-01T00:00:09Z',
      '  0 ms  resumed  cursor',
    ]);
  });

  it('reports that no router knows the request and exits with 1', async () => {
    const { server, address } = await startListener({});
    const output = createRecordingOutput();
    await Explain.createExplainCommand(output).parseAsync(['r-2', '--at', address], {
      from: 'user',
    });
    server.close();
    expect(output.errors).toEqual([`none of ${address} knows request "r-2"`]);
    expect(output.codes).toEqual([1]);
  });
});
