import { afterEach, beforeEach, describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import * as Standins from '@sequoiarill/standins';
import type { PlatformStandin } from '@sequoiarill/standins';
import type { Configuration, Plugin } from '@sequoiarill/types';
import { expect } from 'earl';

import * as ConfigurationSyncs from '../configurationSync';
import type { ConfigurationSync } from '../configurationSync';
import * as DocumentEditors from '../documentEditor';
import type { DocumentEditor } from '../documentEditor';
import * as PlatformConnections from '../platformConnection';
import type { PlatformConnection } from '../platformConnection';
import { platformPlugin } from '../platformPlugin';
import { platformSchema } from '../platformSettings';
import * as Fixtures from './fixtures';

const CLOCK = Kernel.createSystemClock();

let platform: PlatformStandin;
let connection: PlatformConnection;
let editor: DocumentEditor;
let sync: ConfigurationSync;
let stopping: AbortController;
let running: Promise<void>;

function getVersion(configuration: Configuration): string | undefined {
  return configuration.models.get('advisor')?.version;
}

/** Waits until the version is applied. The test runner's time limit per file bounds the wait. */
async function waitForVersion(version: string): Promise<void> {
  const { state } = sync;
  if (getVersion(state.getConfiguration()) === version) return;
  await new Promise<void>((resolve) => {
    const unsubscribe = state.subscribeConfiguration((configuration) => {
      if (getVersion(configuration) !== version) return;
      unsubscribe();
      resolve();
    });
  });
}

async function writeVersion(version: string): Promise<string> {
  const text = Fixtures.formatModelSection(version);
  const outcome = await editor.putSection({ section: 'models', text, file: 'models.json' });
  return outcome.kind;
}

describe('configuration over real sockets', () => {
  beforeEach(async () => {
    platform = Standins.createPlatformStandin();
    const { address } = await platform.start();
    const settings = platformSchema.parse({ endpoints: address, callTimeoutMs: 500 });
    connection = PlatformConnections.openPlatform(settings, Fixtures.SILENT_METRICS);
    const { store } = connection;
    const nextRandom = Fixtures.createRandom(7);
    editor = DocumentEditors.createDocumentEditor({
      store,
      clock: CLOCK,
      nextRandom,
      author: 'ann',
    });
    sync = ConfigurationSyncs.createConfigurationSync({
      process: { name: 'router-1', zone: 'z1' },
      mode: 'auto',
      store,
      clock: CLOCK,
      nextRandom,
      logEvent: () => undefined,
      metrics: Fixtures.SILENT_METRICS,
    });
    stopping = new AbortController();
    expect(await writeVersion('v1')).toEqual('written');
    running = sync.run(stopping.signal);
    await waitForVersion('v1');
  });

  afterEach(async () => {
    stopping.abort();
    await running;
    await connection.close();
    await platform.stop();
  });

  it('applies a change that is watched', async () => {
    await writeVersion('v2');
    await waitForVersion('v2');
    expect(sync.isReader()).toEqual(true);
  });

  it('applies a change whose response was lost exactly once', async () => {
    // Failure: the platform applies an edit and closes the connection before it responds. The
    // operator must learn that the edit took effect, and routers must apply it once.
    await platform.setFault({ kind: 'loseAnswers', count: 1 });
    expect(await writeVersion('v2')).toEqual('written');
    await waitForVersion('v2');
    expect((await editor.listHistory('models'))?.length).toEqual(2);
  });

  it('receives a change after the watch was compacted', async () => {
    // Failure: watches break, and the revisions from which they would continue are compacted.
    await platform.setFault({ kind: 'watchGap' });
    await writeVersion('v2');
    await waitForVersion('v2');
  });

  it('keeps its configuration during an outage and receives the next change after it', async () => {
    // Failure: the platform refuses connections for longer than the lease lasts. The router has to
    // keep its configuration, an edit must fail as not written, and the next edit must take effect.
    await platform.setFault({ kind: 'refuse' });
    expect(await writeVersion('lost')).toEqual('unavailable');
    await CLOCK.waitMs(4_500);
    expect(getVersion(sync.state.getConfiguration())).toEqual('v1');
    await platform.setFault({ kind: 'up' });
    expect(await writeVersion('v2')).toEqual('written');
    await waitForVersion('v2');
  });

  it('keeps the reader role while each call takes 300 ms', async () => {
    await platform.setFault({ kind: 'slow', ms: 300 });
    await CLOCK.waitMs(4_500);
    expect(sync.isReader()).toEqual(true);
    await writeVersion('v2');
    await waitForVersion('v2');
  });

  it('starts as a plug-in with its configuration and dumps no secrets', async () => {
    const key = Kernel.createKeyRecord();
    const text = JSON.stringify({ organisations: { shop: { keys: [key.record] } } });
    await editor.putSection({ section: 'teams', text, file: 'teams.json' });
    const { address } = await platform.start();
    const settings = Kernel.parseSettings(
      `[process]\nname = r\nzone = z2\nregion = r\n[telemetry]\nlogLevel = silent\n[platform]\nendpoints = ${address}\n`,
      'router.ini',
      [platformPlugin as Plugin],
    );
    if (settings.kind !== 'settings') throw new Error('bad settings');
    const kernel = Kernel.createKernel({
      settings: settings.settings,
      plugins: [platformPlugin as Plugin],
    });
    await kernel.start();
    const configuration = kernel.getCapability('configuration').getConfiguration();
    expect(Kernel.verifyKey(configuration, key.presented)?.organisation.name).toEqual('shop');
    const dump = JSON.stringify(await kernel.dumpProcess());
    expect(dump.includes('"organisations":1')).toEqual(true);
    expect(dump.includes(key.record.hash)).toEqual(false);
    await kernel.stop();
  });
});
