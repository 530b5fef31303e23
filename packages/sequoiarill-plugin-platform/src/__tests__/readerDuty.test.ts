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

/** Routers of one zone; `groups` are those that hear each other. */
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
      groups.forEach(Fixtures.mergeNodes);
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

describe('reader of a zone', () => {
  it('is one of them, and the others are told by it', async () => {
    const { platform, nodes, runFor, stopAll } = createZone(8);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    expect(listReaders(nodes).length).toEqual(1);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    await runFor(1_000);
    expect(listVersions(nodes)).toEqual(['v2']);
    const before = platform.getCalls();
    await runFor(10_000);
    // Ten seconds: two confirming reads a second and a refresh each four thirds of a second.
    const after = platform.getCalls();
    expect(after.read - before.read).toEqual(20);
    expect(after.write - before.write <= 8).toEqual(true);
    expect(after.watch).toEqual(before.watch);
    await stopAll();
  });

  it('is replaced within seconds after its death', async () => {
    // Story: the VM of the zone's reader fails, and operators change the document at that moment.
    // The others must not go on with the old document because nobody tells them.
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

  it('leaves others to read for themselves when they start, without a warning', async () => {
    const { clock, nodes, runFor, stopAll } = createZone(2);
    nodes[0]?.start();
    await runFor(2_000, []);
    nodes[1]?.start();
    await clock.runFor(300);
    expect(nodes[1]?.getVersion()).toEqual('v1');
    expect(nodes[1]?.events.includes(Events.READER_BYPASSED)).toEqual(false);
    await stopAll();
  });

  it('is itself when it is alone', async () => {
    const { clock, nodes, stopAll } = createZone(1);
    nodes[0]?.start();
    await clock.runFor(300);
    expect(listVersions(nodes)).toEqual(['v1']);
    await stopAll();
  });

  it('is not missed for long when routers cannot hear each other', async () => {
    // Story: a faulty switch drops all traffic between the zone's routers, and each of them still
    // reaches the platform. The lease keeps the others from reading, and no peer tells them.
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

  it('is chosen without a storm of calls after a long outage', async () => {
    // Story: the platform comes back after an hour. Thirty-two routers of the zone want to read all
    // of the document, each taking the platform's time away from the first one that would tell all.
    const { platform, nodes, runFor, stopAll } = createZone(32);
    nodes.forEach((node) => node.start());
    await runFor(3_000);
    platform.faults.isAway = true;
    platform.closeWatches();
    await runFor(60_000);
    const away = platform.getCalls();
    await runFor(60_000);
    const stillAway = platform.getCalls();
    // A call each 7.5 s on average for each node, and no write.
    expect((stillAway.read - away.read) / 32 <= 9).toEqual(true);
    expect(stillAway.write).toEqual(away.write);
    platform.write(KEY, Fixtures.formatModelSection('v2'));
    platform.faults.isAway = false;
    await runFor(12_000);
    const back = platform.getCalls();
    expect(listVersions(nodes)).toEqual(['v2']);
    expect(back.write - stillAway.write <= 16).toEqual(true);
    expect(back.read - stillAway.read <= 80).toEqual(true);
    await stopAll();
  });

  it('tells a router that joins while the platform is away', async () => {
    // Story: a zone is cut off from the platform and a failed router is replaced there. The new one
    // has no disk and no platform; only its peers can tell it whom to serve.
    const { platform, nodes, runFor, stopAll } = createZone(3);
    nodes.slice(0, 2).forEach((node) => node.start());
    await runFor(2_000, [nodes.slice(0, 2)]);
    platform.faults.isAway = true;
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
