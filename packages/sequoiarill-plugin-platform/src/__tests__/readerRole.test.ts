import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Events from '../events';
import * as StoredSection from '../storedSection';
import * as Platforms from './fakePlatform';
import * as Fixtures from './fixtures';
import type { Node } from './fixtures';

const KEY = `${StoredSection.SECTIONS_PREFIX}models`;
const EXCHANGE_MS = 500;

/** Creates the routers of one zone. `groups` lists the routers that can reach each other. */
function createZone(size: number) {
  const clock = Kernel.createFakeClock();
  const platform = Platforms.createFakePlatform(clock);
  platform.write(KEY, Fixtures.formatModelSection('v1'));
  const nodes = Array.from({ length: size }, (unused, index) =>
    Fixtures.createNode({ platform, clock, name: `router-${index}`, seed: index + 1 }),
  );
  async function runFor(ms: number, groups: readonly (readonly Node[])[] = [nodes]) {
    for (let elapsed = 0; elapsed < ms; elapsed += EXCHANGE_MS) {
      await clock.runFor(EXCHANGE_MS);
      groups.forEach(Fixtures.relayConfiguration);
    }
  }
  async function stopAll(): Promise<void> {
    await Promise.all([...nodes.map((node) => node.stop()), clock.runFor(20_000)]);
  }
  return { clock, platform, nodes, runFor, stopAll };
}

function listReaders(nodes: readonly Node[]): readonly string[] {
  return nodes.filter((node) => node.isReader()).map(({ name }) => name);
}

function listVersions(nodes: readonly Node[]): readonly (string | undefined)[] {
  return [...new Set(nodes.map((node) => node.getVersion()))];
}

describe('zone reader', () => {
  it('is one router, which updates all others', async () => {
    const { platform, nodes, runFor, stopAll } = createZone(8);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    expect(listReaders(nodes).length).toEqual(1);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await runFor(1_000);
    expect(listVersions(nodes)).toEqual(['v2']);
    const before = platform.getCalls();
    await runFor(10_000);
    // In ten seconds: two confirming reads per second, and a lease renewal every 4/3 s.
    const after = platform.getCalls();
    expect(after.read - before.read).toEqual(20);
    expect(after.write - before.write <= 8).toEqual(true);
    expect(after.watch).toEqual(before.watch);
    await stopAll();
  });

  it('is replaced within seconds after it stops', async () => {
    // Failure: the zone reader stops, and operators change the document at that moment. The other
    // routers would continue with the old document because nothing updates them.
    const { platform, nodes, runFor, stopAll } = createZone(8);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    const reader = nodes.find((node) => node.isReader());
    const others = nodes.filter((node) => node !== reader);
    const stopped = reader?.stop();
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await runFor(8_000, [others]);
    expect(listReaders(others).length).toEqual(1);
    expect(listVersions(others)).toEqual(['v2']);
    await stopped;
    await stopAll();
  });

  it('does not prevent a starting router from reading by itself without a warning', async () => {
    const { clock, nodes, runFor, stopAll } = createZone(2);
    nodes[0]?.start();
    await runFor(2_000, []);
    nodes[1]?.start();
    await clock.runFor(300);
    expect(nodes[1]?.getVersion()).toEqual('v1');
    expect(nodes[1]?.events.includes(Events.READER_BYPASSED)).toEqual(false);
    await stopAll();
  });

  it('is a single router without peers', async () => {
    const { clock, nodes, stopAll } = createZone(1);
    nodes[0]?.start();
    await clock.runFor(300);
    expect(listVersions(nodes)).toEqual(['v1']);
    await stopAll();
  });

  it('is bypassed when routers cannot reach each other', async () => {
    // Failure: a faulty switch drops all traffic between the routers of a zone, while each of them
    // still reaches the platform. The lease keeps the others from reading, and no peer updates
    // them.
    const { platform, nodes, runFor, stopAll } = createZone(3);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    const alone = nodes.map((node) => [node]);
    await runFor(8_000, alone);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await runFor(8_000, alone);
    expect(listVersions(nodes)).toEqual(['v2']);
    expect(nodes.some((node) => node.events.includes(Events.READER_BYPASSED))).toEqual(true);
    await stopAll();
  });

  it('is elected without a burst of calls after a long outage', async () => {
    // Failure: the platform recovers after a long outage, and all 32 routers of the zone read the
    // full document. The load delays the one read that would have been enough to update all of
    // them.
    const { platform, nodes, runFor, stopAll } = createZone(32);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    platform.faults.isDown = true;
    platform.closeWatches();
    await runFor(60_000);
    const duringOutage = platform.getCalls();
    await runFor(60_000);
    const endOfOutage = platform.getCalls();
    // One call per node every 7.5 s on average, and no write.
    expect((endOfOutage.read - duringOutage.read) / 32 <= 9).toEqual(true);
    expect(endOfOutage.write).toEqual(duringOutage.write);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    platform.faults.isDown = false;
    await runFor(12_000);
    const afterOutage = platform.getCalls();
    expect(listVersions(nodes)).toEqual(['v2']);
    expect(afterOutage.write - endOfOutage.write <= 16).toEqual(true);
    expect(afterOutage.read - endOfOutage.read <= 80).toEqual(true);
    await stopAll();
  });

  it('updates a router that joins during an outage', async () => {
    // Failure: a zone is partitioned from the platform while a failed router is replaced there. The
    // new router has no stored state and no platform, so only its peers can provide the
    // configuration.
    const { platform, nodes, runFor, stopAll } = createZone(3);
    nodes.slice(0, 2).forEach((node) => node.start());
    await runFor(2_000, [nodes.slice(0, 2)]);
    platform.faults.isDown = true;
    nodes[2]?.start();
    await runFor(1_000);
    expect(nodes[2]?.getVersion()).toEqual('v1');
    await stopAll();
  });
});

describe('reader mode always', () => {
  it('reads in every router without a lease', async () => {
    const clock = Kernel.createFakeClock();
    const platform = Platforms.createFakePlatform(clock);
    platform.write(KEY, Fixtures.formatModelSection('v1'));
    const nodes = ['router-1', 'router-2'].map((name) =>
      Fixtures.createNode({ platform, clock, name, mode: 'always' }),
    );
    nodes.forEach((node) => node.start());
    await clock.runFor(1_000);
    expect(listVersions(nodes)).toEqual(['v1']);
    expect(platform.getCalls().write).toEqual(0);
    await Promise.all(nodes.map((node) => node.stop()));
  });
});
