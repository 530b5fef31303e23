import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as DocumentEditors from '../documentEditor';
import * as DocumentRecords from '../documentRecords';
import * as Events from '../events';
import * as SourceWatchers from '../sourceWatcher';
import * as StoredSection from '../storedSection';
import * as Platforms from './fakePlatform';
import * as Fixtures from './fixtures';

const KEY = `${StoredSection.SECTIONS_PREFIX}models`;

async function startNode() {
  const clock = Kernel.createFakeClock();
  const platform = Platforms.createFakePlatform(clock);
  platform.write(KEY, Fixtures.formatModelSection('v1'));
  const node = Fixtures.createNode({ platform, clock, name: 'router-1' });
  node.start();
  await clock.runFor(1_000);
  return { clock, platform, node };
}

describe('configuration sync', () => {
  it('reads the configuration after a start and applies watched changes', async () => {
    const { clock, platform, node } = await startNode();
    expect(node.getVersion()).toEqual('v1');
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(10);
    expect(node.getVersion()).toEqual('v2');
    await node.stop();
  });

  it('keeps its configuration during an outage and applies missed changes after it', async () => {
    // Failure: the platform is unavailable to routers for an hour, and a change is written just
    // before the end. Routers must keep their configuration and apply the change within seconds.
    const { clock, platform, node } = await startNode();
    platform.faults.isDown = true;
    platform.closeWatches();
    await clock.runFor(3_600_000);
    expect(node.getVersion()).toEqual('v1');
    expect(node.isUnavailable()).toEqual(true);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    platform.faults.isDown = false;
    await clock.runFor(15_000);
    expect(node.getVersion()).toEqual('v2');
    const outage = [Events.PLATFORM_AWAY, Events.PLATFORM_BACK];
    expect(node.events.filter((event) => outage.includes(event))).toEqual(outage);
    await node.stop();
  });

  it('reads all records again when the watch missed changes', async () => {
    // Failure: a connection breaks, and the platform compacts the changes that follow before the
    // watch is reopened. Continuing from the current revision would lose them.
    const { clock, platform, node } = await startNode();
    platform.faults.isWatchSilent = true;
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    platform.write('other', 'x');
    platform.compact();
    platform.faults.isWatchSilent = false;
    platform.closeWatches();
    await clock.runFor(400);
    expect(node.getVersion()).toEqual('v2');
    expect(node.events.includes(Events.WATCH_COMPACTED)).toEqual(true);
    await node.stop();
  });

  it('detects a watch that is open but silent', async () => {
    // Failure: a firewall drops the connection of a watch without either side closing it. A change
    // that operators see as accepted would never reach the zone.
    const { clock, platform, node } = await startNode();
    platform.faults.isWatchSilent = true;
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(4_000);
    expect(node.getVersion()).toEqual('v2');
    await node.stop();
  });

  it('does not read all records again when a watch is only slightly late', async () => {
    // Failure: a burst of changes delays the platform's watches by half a second, and each change
    // that arrives triggers a confirming read after 200 ms. If two such reads in a row were treated
    // as a missed change, each change would cause a full read of the document.
    const clock = Kernel.createFakeClock();
    const platform = Platforms.createFakePlatform(clock);
    const watcher = SourceWatchers.createSourceWatcher({
      source: DocumentRecords.SECTION_SOURCE,
      store: platform.createStore(),
      clock,
      logEvent: () => undefined,
      nextRandom: () => 0,
      applyRecords: () => undefined,
    });
    await watcher.readAll();
    platform.write(KEY, Fixtures.formatModelSection('v1'));
    const readsBefore = platform.getCalls().prefix;
    for (let count = 0; count < 5; count += 1) {
      expect(await watcher.checkRevision()).toEqual({ kind: 'confirmed', revision: 1 });
      clock.simulatePause(200);
    }
    expect(platform.getCalls().prefix).toEqual(readsBefore);
    clock.simulatePause(600);
    expect(await watcher.checkRevision()).toEqual({ kind: 'confirmed', revision: 2 });
    expect(platform.getCalls().prefix).toEqual(readsBefore + 1);
  });

  it('does not revert when the platform returns with old data', async () => {
    // Failure: the platform is restored from an old backup. Its revisions are lower than those of
    // the routers, and its texts were replaced by accepted changes.
    const { clock, platform, node } = await startNode();
    const old = platform.get(KEY);
    const oldRevision = platform.getRevision();
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(2_000);
    platform.restore(oldRevision, old === undefined ? [] : [old]);
    await clock.runFor(20_000);
    expect(node.getVersion()).toEqual('v2');
    expect(node.events.includes(Events.PLATFORM_OLDER)).toEqual(true);
    await node.stop();
  });

  it('provides the last valid text of a damaged section to a router that starts later', async () => {
    // Failure: a section is overwritten by an invalid text without the commands. Running routers
    // keep the last valid text, but a router that starts later reads only the invalid one.
    const { clock, platform, node } = await startNode();
    const editor = DocumentEditors.createDocumentEditor({
      store: platform.createStore(),
      clock,
      nextRandom: () => 0,
      author: 'ann',
    });
    const text = Fixtures.formatModelSection('v2');
    await editor.putSection({ section: 'models', text, file: 'models.json' });
    platform.write(KEY, '{"modles":{}}');
    await clock.runFor(1_000);
    const late = Fixtures.createNode({ platform, clock, name: 'router-2', zone: 'z2' });
    late.start();
    await clock.runFor(1_000);
    expect([node.getVersion(), late.getVersion()]).toEqual(['v2', 'v2']);
    expect(late.events.includes(Events.SECTION_REFUSED)).toEqual(true);
    platform.write(KEY, Fixtures.formatModelSection('v3'));
    await clock.runFor(1_000);
    expect([node.getVersion(), late.getVersion()]).toEqual(['v3', 'v3']);
    await Promise.all([node.stop(), late.stop()]);
  });

  it('treats a removed key as an empty section', async () => {
    const { clock, platform, node } = await startNode();
    platform.remove(KEY);
    await clock.runFor(10);
    expect(node.getVersion()).toEqual(undefined);
    await node.stop();
  });

  it('keeps the reader role and applies changes when each call takes 800 ms', async () => {
    // Failure: the platform is slow but available. Leases must still be renewed in time, and a
    // change must still take effect within eight seconds.
    const { clock, platform, node } = await startNode();
    platform.faults.latencyMs = 800;
    await clock.runFor(20_000);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(8_000);
    expect(node.getVersion()).toEqual('v2');
    const starts = node.events.filter((event) => event === Events.READER_STARTED);
    expect(starts.length).toEqual(1);
    await Promise.all([node.stop(), clock.runFor(5_000)]);
  });
});
