import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as DocumentEditors from '../documentEditor';
import * as DocumentRecords from '../documentRecords';
import * as Events from '../events';
import * as SourceFollowers from '../sourceFollower';
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

describe('following the configuration', () => {
  it('reads it soon after a start and applies a change as it is watched', async () => {
    const { clock, platform, node } = await startNode();
    expect(node.getVersion()).toEqual('v1');
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(10);
    expect(node.getVersion()).toEqual('v2');
    await node.stop();
  });

  it('serves on through an outage and catches up after it', async () => {
    // Story: the platform is down for an hour while operators get a change in just before its end.
    // Routers must go on with what they have, then have the change within seconds.
    const { clock, platform, node } = await startNode();
    platform.faults.isAway = true;
    platform.closeWatches();
    await clock.runFor(3_600_000);
    expect(node.getVersion()).toEqual('v1');
    expect(node.isAway()).toEqual(true);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    platform.faults.isAway = false;
    await clock.runFor(15_000);
    expect(node.getVersion()).toEqual('v2');
    const outage = [Events.PLATFORM_AWAY, Events.PLATFORM_BACK];
    expect(node.events.filter((event) => outage.includes(event))).toEqual(outage);
    await node.stop();
  });

  it('reads everything again when the watch missed changes', async () => {
    // Story: a connection breaks, many changes follow, and the platform compacts them away before
    // the watch is back. Going on from the present would lose the change between.
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

  it('notices a watch that is open and silent', async () => {
    // Story: a firewall forgets the connection of a watch; neither side closes it. Operators see
    // their change accepted, and the zone would never learn of it.
    const { clock, platform, node } = await startNode();
    platform.faults.isWatchSilent = true;
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await clock.runFor(4_000);
    expect(node.getVersion()).toEqual('v2');
    await node.stop();
  });

  it('does not read everything again because a watch is a little late', async () => {
    // Story: a burst of changes makes the platform's watches lag by half a second, and each change
    // that does arrive brings a confirming read after 200 ms. A reader that took two of them in a row
    // for a gap would add a read of the whole document to each change.
    const clock = Kernel.createFakeClock();
    const platform = Platforms.createFakePlatform(clock);
    const follower = SourceFollowers.createSourceFollower({
      source: DocumentRecords.SECTION_SOURCE,
      store: platform.createStore(),
      clock,
      logEvent: () => undefined,
      nextRandom: () => 0,
      applyRecords: () => undefined,
    });
    await follower.readAll();
    platform.write(KEY, Fixtures.formatModelSection('v1'));
    const readsBefore = platform.getCalls().prefix;
    for (let count = 0; count < 5; count += 1) {
      expect(await follower.checkRevision()).toEqual({ kind: 'confirmed', revision: 1 });
      clock.simulatePause(200);
    }
    expect(platform.getCalls().prefix).toEqual(readsBefore);
    clock.simulatePause(600);
    expect(await follower.checkRevision()).toEqual({ kind: 'confirmed', revision: 2 });
    expect(platform.getCalls().prefix).toEqual(readsBefore + 1);
  });

  it('does not go back when the platform comes back with old data', async () => {
    // Story: the platform loses its disks and is restored from yesterday's backup. Its revisions are
    // lower than what routers have, and its texts are what accepted changes had replaced.
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

  it('gives a router that starts late the last good text of a damaged section', async () => {
    // Story: somebody overwrites a section past the commands and makes a mistake. Running routers keep
    // the last good text; one that is replaced an hour later sees only the damaged one.
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

  it('takes a removed key as an emptied section', async () => {
    const { clock, platform, node } = await startNode();
    platform.remove(KEY);
    await clock.runFor(10);
    expect(node.getVersion()).toEqual(undefined);
    await node.stop();
  });

  it('keeps working when each call takes most of a second', async () => {
    // Story: the platform is slow, not down. Leases are still refreshed in time and a change is
    // still in force within the eight seconds that were promised.
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
