import { describe, it } from 'node:test';

import type { Configuration } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Announcements from '../announcementStore';
import * as Builder from '../configurationBuilder';
import * as States from '../configurationState';
import * as SectionParser from '../sectionParser';
import * as SnapshotPublishers from '../snapshotPublisher';
import * as Fixtures from './fixtures';

const NAMES = ['a', 'b', 'c', 'd'];
const SECTIONS = ['one', 'two', 'three'];

/** All sections use the same names, so that duplicate definitions appear and disappear. */
const sectionText = FastCheck.record({
  models: FastCheck.subarray(NAMES),
  organisations: FastCheck.subarray(NAMES),
  engines: FastCheck.subarray(NAMES),
  version: FastCheck.constantFrom('v1', 'v2'),
}).map(({ models, organisations, engines, version }) => {
  const keys = (name: string) => [{ id: `k${name}`, salt: '00', hash: '0'.repeat(64) }];
  const createEngine = (name: string) => [
    name,
    { address: '10.0.0.1:80', models: ['a'], slots: 1 },
  ];
  return JSON.stringify({
    models: Object.fromEntries(models.map((name) => [name, { version, contextTokens: 9_000 }])),
    organisations: Object.fromEntries(organisations.map((name) => [name, { keys: keys(name) }])),
    vms: { vm: { zone: 'z1', engines: Object.fromEntries(engines.map(createEngine)) as object } },
  });
});

const change = FastCheck.record({
  section: FastCheck.constantFrom(...SECTIONS),
  text: sectionText,
});
const batches = FastCheck.array(FastCheck.array(change, { minLength: 1, maxLength: 3 }), {
  maxLength: 8,
});

function dumpConfiguration(configuration: Configuration): readonly (readonly unknown[])[] {
  const { models, organisations, keysById, services, targets } = configuration;
  const maps: readonly ReadonlyMap<string, unknown>[] = [
    models,
    organisations,
    keysById,
    services,
    targets,
  ];
  return maps.map((map) => [...map].sort(([left], [right]) => (left < right ? -1 : 1)));
}

function buildFromTexts(texts: ReadonlyMap<string, string>): Configuration {
  const items = [...texts].flatMap(([name, text]) => {
    const result = SectionParser.parseSection(text, 'test', name);
    return result.kind === 'section' ? [[name, Builder.buildItems(result.content)] as const] : [];
  });
  return Builder.buildConfiguration(0, new Map(items), new Map());
}

describe('snapshots', () => {
  it('are the same whether built incrementally or from scratch', () => {
    const property = FastCheck.property(batches, (plan) => {
      const clock = Kernel.createFakeClock();
      const state = States.createConfigurationState({
        clock,
        logEvent: () => undefined,
        metrics: Fixtures.SILENT_METRICS,
        announcements: Announcements.createAnnouncementStore(clock, 3_000),
      });
      const texts = new Map<string, string>();
      for (const [round, batch] of plan.entries()) {
        const records = batch.map(({ section, text }, index) => {
          texts.set(section, text);
          return { name: section, revision: round * 10 + index + 1, text };
        });
        state.applyRecords(records);
        const expected = dumpConfiguration(buildFromTexts(texts));
        expect(dumpConfiguration(state.getConfiguration())).toEqual(expected);
      }
    });
    FastCheck.assert(property, { seed: 77, numRuns: 100 });
  });

  it('are built once for a burst of changes, and within a second', async () => {
    // Failure: a script edits a hundred sections within a second while thousands of streams are
    // open. One build per edit would keep the process from relaying tokens.
    const clock = Kernel.createFakeClock();
    let builds = 0;
    const publisher = SnapshotPublishers.createSnapshotPublisher({
      clock,
      logEvent: () => undefined,
      metrics: Fixtures.SILENT_METRICS,
      initial: Builder.buildConfiguration(0, new Map(), new Map()),
      buildNext(current) {
        builds += 1;
        clock.simulatePause(8);
        return { ...current, revision: current.revision + 1 };
      },
    });
    publisher.updateThrottled();
    expect(builds).toEqual(1);
    for (let count = 0; count < 100; count += 1) {
      publisher.updateThrottled();
      await clock.runFor(10);
    }
    expect(builds).toEqual(2);
    await clock.runFor(1_000);
    expect(builds).toEqual(3);
    await clock.runFor(10_000);
    expect(builds).toEqual(3);
  });
});
