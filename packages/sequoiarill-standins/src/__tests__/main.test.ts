import * as ChildProcess from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import * as Path from 'node:path';
import { after, describe, it } from 'node:test';

import { expect } from 'earl';

import * as Calls from '../shared/__tests__/calls';

const PACKAGE = Path.join(__dirname, '..', '..');
const BIN = Path.join(PACKAGE, 'bin', 'sequoiarill-standin.js');
const EXAMPLES = Path.join(PACKAGE, '..', '..', 'examples', 'standins');

interface StartMessage {
  readonly standin: string;
  readonly address: string;
}

function startProcess(kind: string, file: string): ChildProcess.ChildProcessWithoutNullStreams {
  return ChildProcess.spawn(process.execPath, [BIN, kind, '--settings', file]);
}

describe('process', () => {
  const directory = mkdtempSync(Path.join(tmpdir(), 'standins-'));

  after(() => rmSync(directory, { recursive: true }));

  for (const kind of ['platform', 'engine', 'service']) {
    it(`starts the ${kind} from its example settings and stops on SIGTERM`, async () => {
      const child = startProcess(kind, Path.join(EXAMPLES, `${kind}.ini`));
      const [line] = (await once(child.stdout, 'data')) as [Buffer];
      const { address, standin } = JSON.parse(String(line)) as StartMessage;
      expect(standin).toEqual(kind);
      const response = await Calls.readGet(`http://${address}/standin/counters`);
      expect(response.statusCode).toEqual(200);
      await response.body.dump();
      child.kill('SIGTERM');
      const [code] = (await once(child, 'exit')) as [number | null];
      expect(code).toEqual(0);
    });
  }

  // Guards against a process that exits during a simulated crash and so cannot restart:
  // while the listener is closed, nothing else keeps the event loop alive.
  it('stays alive through a simulated crash and restarts', async () => {
    const child = startProcess('engine', Path.join(EXAMPLES, 'engine.ini'));
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    const { address } = JSON.parse(String(line)) as StartMessage;
    const fault = { kind: 'die', reviveAfterMs: 300 };
    const answer = await Calls.sendJson(`http://${address}/standin/fault`, fault);
    await answer.body.dump();
    await expect(Calls.readGet(`http://${address}/health`)).toBeRejected();
    await Calls.waitUntil(() =>
      Calls.readGet(`http://${address}/health`).then(
        (response) => response.body.dump().then(() => true),
        () => child.exitCode !== null,
      ),
    );
    expect(child.exitCode).toEqual(null);
    child.kill('SIGINT');
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(code).toEqual(0);
  });

  it('reports all errors of a settings file together', async () => {
    const file = Path.join(directory, 'bad.ini');
    writeFileSync(file, '[engine]\nlisten = nowhere\nslots = 0\nspeed = 1\n[mistake]\na = 1\n');
    const child = startProcess('engine', file);
    let output = '';
    child.stderr.on('data', (part) => {
      output += String(part);
    });
    const [code] = (await once(child, 'close')) as [number | null];
    const locations = output.split('\n').map((line) => line.slice(file.length + 2).split(':')[0]);
    expect(code).toEqual(1);
    expect(locations).toEqual([
      '[mistake]',
      '[engine] listen',
      '[engine] slots',
      '[engine] speed',
      '',
    ]);
  });
});
