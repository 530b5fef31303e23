import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import * as Http from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';

import * as Standins from '@sequoiarill/standins';
import type { PlatformStandin } from '@sequoiarill/standins';
import { expect } from 'earl';

import * as ConfigCommands from '../config';

interface PrintedOutput {
  readonly out: string;
  readonly error: string;
  readonly exitCode: number;
}

const MODELS = { models: { advisor: { version: 'v1', contextTokens: 10_000 } } };

let directory = '';
let address = '';
let platform: PlatformStandin;

/** Runs `sequoiarill config` with these arguments. */
async function runConfig(...args: readonly string[]): Promise<PrintedOutput> {
  const printed = { out: '', error: '', exitCode: 0 };
  const command = ConfigCommands.createConfigCommand({
    print(text) {
      printed.out += `${text}\n`;
    },
    printError(text) {
      printed.error += `${text}\n`;
    },
    setExitCode(code) {
      printed.exitCode = code;
    },
  });
  await command.parseAsync(args, { from: 'user' });
  return printed;
}

async function runSection(name: string, ...args: readonly string[]): Promise<PrintedOutput> {
  return runConfig(...args, '--section', name, '--platform', address);
}

function writeFile(name: string, content: unknown): string {
  const file = path.join(directory, name);
  writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
  return file;
}

/** Starts a server that responds like the operator listener of a router with this state. */
async function startRouterState(state: object): Promise<Http.Server> {
  const server = Http.createServer((request, response) => {
    response.setHeader('connection', 'close');
    response.end(request.url === '/state/platform' ? JSON.stringify(state) : '{}');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

async function readRevision(section: string): Promise<number> {
  const { out } = await runSection(section, 'get', '--json');
  return (JSON.parse(out) as { readonly revision: number }).revision;
}

describe('sequoiarill config', () => {
  beforeEach(async () => {
    directory = mkdtempSync(path.join(tmpdir(), 'sequoiarill-config-'));
    platform = Standins.createPlatformStandin();
    ({ address } = await platform.start());
  });

  afterEach(async () => {
    await platform.stop();
    rmSync(directory, { recursive: true });
  });

  it('writes and prints a section, and shows the differences to another file', async () => {
    const file = writeFile('models.json', MODELS);
    expect((await runSection('models', 'put', file)).exitCode).toEqual(0);
    expect((await runSection('models', 'get')).out.trim()).toEqual(JSON.stringify(MODELS));
    const changedFile = writeFile('other.json', JSON.stringify(MODELS).replace('v1', 'v2'));
    const { out } = await runSection('models', 'diff', changedFile);
    expect(out).toEqual('~ models.advisor.version: "v1" -> "v2"\n');
  });

  it('reports faults with file, section, key and reason', async () => {
    const file = writeFile('teams.json', { organisations: { shop: { models: ['ghost'] } } });
    expect(await runSection('teams', 'put', file)).toEqual({
      out: '',
      error: `${file}: [teams] organisations.shop.models: unknown model "ghost"; add it to a section first or mend the name\n`,
      exitCode: 1,
    });
    expect(platform.getCounters().writes).toEqual(0);
    expect((await runConfig('check', file)).exitCode).toEqual(0);
    const checked = await runConfig('check', file, '--platform', address);
    expect(checked.exitCode).toEqual(1);
    const spelled = writeFile('spelled.json', { organisation: {} });
    const alone = await runConfig('check', spelled);
    const reason = 'unknown key; remove it or mend its spelling';
    expect(alone.error).toEqual(`${spelled}: [spelled] organisation: ${reason}\n`);
  });

  it('shows a conflicting change of another operator instead of overwriting it', async () => {
    const first = writeFile('first.json', MODELS);
    await runSection('models', 'put', first);
    const revision = await readRevision('models');
    const second = writeFile('second.json', JSON.stringify(MODELS).replace('v1', 'v2'));
    await runSection('models', 'put', second, '--author', 'ann');
    const condition = ['--if-revision', String(revision)];
    const third = writeFile('third.json', JSON.stringify(MODELS).replace('v1', 'v3'));
    const { error, exitCode } = await runSection('models', 'put', third, ...condition);
    expect(exitCode).toEqual(1);
    expect(error.includes('by ann')).toEqual(true);
    expect(error.includes('~ models.advisor.version: "v2" -> "v3"')).toEqual(true);
  });

  it('writes once although the response of the platform is lost', async () => {
    // Guards against a false error or a duplicate revision: the platform applies the edit, and the
    // connection breaks before the response.
    const file = writeFile('models.json', MODELS);
    await platform.setFault({ kind: 'loseAnswers', count: 1 });
    expect((await runSection('models', 'put', file)).exitCode).toEqual(0);
    const { out } = await runSection('models', 'history', '--json');
    const { entries } = JSON.parse(out) as { readonly entries: readonly unknown[] };
    expect(entries.length).toEqual(1);
  });

  it('restores an earlier text as a new revision', async () => {
    await runSection('models', 'put', writeFile('first.json', MODELS));
    const revision = await readRevision('models');
    const changed = JSON.stringify(MODELS).replace('v1', 'v2');
    await runSection('models', 'put', writeFile('second.json', changed));
    const reverted = await runSection('models', 'revert', '--to', String(revision));
    expect(reverted.exitCode).toEqual(0);
    expect((await runSection('models', 'get')).out.trim()).toEqual(JSON.stringify(MODELS));
    expect((await readRevision('models')) > revision).toEqual(true);
    expect((await runSection('models', 'revert', '--to', '1')).exitCode).toEqual(1);
  });

  it('reports that nothing was written if the platform refuses connections', async () => {
    await platform.setFault({ kind: 'refuse' });
    const { error, exitCode } = await runSection('models', 'put', writeFile('a.json', MODELS));
    expect(exitCode).toEqual(2);
    expect(error.startsWith('the platform does not answer, nothing was written')).toEqual(true);
  });

  it('reads the platform address from the settings file of a router', async () => {
    const settings = writeFile(
      'router.ini',
      `[process]\nname = r\nzone = z\nregion = r\n[platform]\nendpoints = ${address}\n[callers]\nlisten = x\n`,
    );
    const file = writeFile('models.json', MODELS);
    const args = ['put', file, '--section', 'models', '--settings', settings];
    expect((await runConfig(...args)).exitCode).toEqual(0);
    const { out } = await runConfig('status', '--settings', settings);
    expect(out.startsWith('newest revision')).toEqual(true);
    const missing = await runConfig('get', '--section', 'models');
    expect(missing.error).toEqual('name the platform: --platform IP:PORT or --settings FILE\n');
  });

  it('shows the routers that lag behind, with the section and the time', async () => {
    // Guards against a status that hides a router in a partitioned zone, which still uses the old
    // configuration after a change was accepted.
    await runSection('models', 'put', writeFile('models.json', MODELS));
    const revision = await readRevision('models');
    const held = { name: 'models', revision };
    const states = [[held], [{ ...held, revision: revision - 1 }]].map((sections) => ({
      configuration: { revision, sections, refused: [] },
    }));
    const servers = await Promise.all(states.map(startRouterState));
    const at = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    const status = ['status', '--platform', address, '--at'];
    expect((await runConfig(...status, at[0] ?? '')).exitCode).toEqual(0);
    const { error, exitCode } = await runConfig(...status, at.join(','));
    expect(exitCode).toEqual(1);
    const lines = error.split('\n');
    expect(lines[2]).toEqual(`${at[0]}: revision ${revision}, up to date`);
    expect(lines[3]?.includes(`[models] at ${revision - 1} lags since 20`)).toEqual(true);
    servers.forEach((server) => server.close());
  });

  it('creates an API key and prints its secret and the record to store', async () => {
    const { out } = await runConfig('key', '--organisation', 'shop', '--json');
    const key = JSON.parse(out) as { presented: string; record: { id: string } };
    expect(key.presented.startsWith(`sqr_${key.record.id}_`)).toEqual(true);
  });
});
