import { describe, it } from 'node:test';

import type { EventDefinition } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as News from '../configurationNews';
import * as States from '../configurationState';
import * as Events from '../events';
import * as Fixtures from './fixtures';

const VM_SECTION = JSON.stringify({
  vms: {
    'vm-1': {
      zone: 'z1',
      engines: { 'engine-1': { address: '10.0.0.1:80', models: ['advisor'], slots: 8 } },
    },
  },
});

function createState() {
  const clock = Kernel.createFakeClock();
  const events: EventDefinition[] = [];
  const state = States.createConfigurationState({
    clock,
    logEvent: (definition) => events.push(definition),
    metrics: Fixtures.SILENT_METRICS,
    news: News.createNewsKeeper(clock, 3_000),
  });
  return { state, events };
}

function createRecord(name: string, revision: number, text: string) {
  return { name, revision, text };
}

describe('configuration state', () => {
  it('builds a snapshot with defaults and keeps unchanged organisations as they are', () => {
    const { state } = createState();
    const text = JSON.stringify({ organisations: { shop: { limits: { tokensPerSecond: 50 } } } });
    state.applyRecords([createRecord('teams', 3, text)]);
    const before = state.getConfiguration().organisations.get('shop');
    expect(before).toEqual({
      name: 'shop',
      models: [],
      services: [],
      keys: [],
      priority: 5,
      weight: 1,
      limits: { tokensPerSecond: 50, concurrentRequests: 1e9 },
      preference: 'resumeLatency',
    });
    state.applyRecords([createRecord('models', 4, Fixtures.formatModelSection('v1'))]);
    expect(state.getConfiguration().organisations.get('shop') === before).toEqual(true);
    expect(state.getConfiguration().revision).toEqual(4);
  });

  it('never goes back to an older revision, whoever brings it', () => {
    // Story: a router that was paused, or a platform restored from a backup, hands out a text that
    // was replaced long ago. Taking it would undo a change that was accepted and in force.
    const { state } = createState();
    state.applyRecords([createRecord('models', 9, Fixtures.formatModelSection('new'))]);
    state.applyRecords([createRecord('models', 5, Fixtures.formatModelSection('old'))]);
    state.mergeSections({ readerFence: 99, readerBeat: 1, revision: 9 }, [
      createRecord('models', 8, Fixtures.formatModelSection('old')),
    ]);
    expect(state.getConfiguration().models.get('advisor')?.version).toEqual('new');
  });

  it('keeps the last good text when a stored one does not parse', () => {
    // Story: somebody writes a section past the command line, with a spelling mistake. All routers
    // see it; dropping the section would turn away a whole team's callers.
    const { state, events } = createState();
    state.applyRecords([createRecord('models', 3, Fixtures.formatModelSection('good'))]);
    state.applyRecords([createRecord('models', 4, '{"modles": {}}')]);
    state.applyRecords([createRecord('models', 4, '{"modles": {}}')]);
    expect(state.getConfiguration().models.get('advisor')?.version).toEqual('good');
    const refusals = events.filter((event) => event === Events.SECTION_REFUSED);
    expect(refusals.length).toEqual(1);
    state.mergeSections({ readerFence: 1, readerBeat: 1, revision: 4 }, []);
    expect(state.listSectionsAfter(0).map(({ revision }) => revision)).toEqual([3]);
    state.applyRecords([createRecord('models', 5, Fixtures.formatModelSection('mended'))]);
    expect(state.getConfiguration().models.get('advisor')?.version).toEqual('mended');
  });

  it('gives peers nothing beyond what is confirmed', () => {
    // Story: two watches run side by side and the later of two changes arrives first. A peer given
    // that one would count itself as knowing everything before it, and never ask for the other.
    const { state } = createState();
    state.applyRecords([
      createRecord('models', 3, '{}'),
      createRecord('vm:vm-1', 9, '{"state":"leaving"}'),
    ]);
    state.mergeSections(
      { readerFence: 1, readerBeat: 1, revision: state.findNewestRevision(7) },
      [],
    );
    expect(state.getAnnouncement().revision).toEqual(3);
    expect(state.listSectionsAfter(0).map(({ name }) => name)).toEqual(['models']);
    state.mergeSections(
      { readerFence: 1, readerBeat: 2, revision: state.findNewestRevision(9) },
      [],
    );
    expect(state.listSectionsAfter(3).map(({ name }) => name)).toEqual(['vm:vm-1']);
  });

  it('makes a VM leaving when either source says so', () => {
    const { state } = createState();
    const getState = () => state.getConfiguration().targets.get('engine-1')?.vmState;
    state.applyRecords([createRecord('vms', 3, VM_SECTION)]);
    expect(getState()).toEqual('live');
    state.applyRecords([createRecord('vm:vm-1', 4, '{"state":"leaving"}')]);
    expect(getState()).toEqual('leaving');
    state.applyRecords([createRecord('vm:vm-1', 5, '{"state":"live"}')]);
    expect(getState()).toEqual('live');
    const leaving = VM_SECTION.replace('"zone"', '"state":"leaving","zone"');
    state.applyRecords([createRecord('vms', 6, leaving)]);
    expect(getState()).toEqual('leaving');
  });

  it('forgets the VMs that changed longest ago beyond a bound', () => {
    const { state } = createState();
    const records = Array.from({ length: 20_002 }, (unused, index) =>
      createRecord(`vm:vm-${index}`, index + 1, '{"state":"live"}'),
    );
    state.applyRecords(records);
    state.mergeSections({ readerFence: 1, readerBeat: 1, revision: 30_000 }, []);
    const kept = state.listSectionsAfter(0);
    expect(kept.length).toEqual(20_000);
    expect(kept[0]?.name).toEqual('vm:vm-2');
  });

  it('tells subscribers of each change until they leave', () => {
    const { state } = createState();
    const revisions: number[] = [];
    const unsubscribe = state.subscribeConfiguration(({ revision }) => revisions.push(revision));
    state.applyRecords([createRecord('models', 3, '{}')]);
    state.applyRecords([createRecord('models', 3, '{}')]);
    unsubscribe();
    state.applyRecords([createRecord('models', 4, '{}')]);
    expect(revisions).toEqual([3]);
  });
});

describe('news of the configuration', () => {
  it('rises with the reader, then its beats, and never falls', () => {
    const clock = Kernel.createFakeClock();
    const news = News.createNewsKeeper(clock, 3_000);
    news.confirmNews(7, 20);
    news.confirmNews(7, 21);
    expect(news.getAnnouncement()).toEqual({ readerFence: 7, readerBeat: 2, revision: 21 });
    news.mergeNews({ readerFence: 6, readerBeat: 90, revision: 99 });
    expect(news.getAnnouncement()).toEqual({ readerFence: 7, readerBeat: 2, revision: 21 });
    news.mergeNews({ readerFence: 9, readerBeat: 1, revision: 15 });
    expect(news.getAnnouncement()).toEqual({ readerFence: 9, readerBeat: 1, revision: 21 });
  });

  it('makes a reader with a lower fence heard once the higher one falls silent', () => {
    // Story: two zones have a reader each; the one with the higher fence dies. The other goes on
    // reading, but its news look old to every peer, so new changes would not be passed on.
    const clock = Kernel.createFakeClock();
    const news = News.createNewsKeeper(clock, 3_000);
    news.mergeNews({ readerFence: 9, readerBeat: 5, revision: 30 });
    news.confirmNews(7, 31);
    expect(news.getAnnouncement()).toEqual({ readerFence: 9, readerBeat: 5, revision: 31 });
    clock.simulatePause(3_000);
    news.confirmNews(7, 32);
    expect(news.getAnnouncement()).toEqual({ readerFence: 10, readerBeat: 1, revision: 32 });
  });
});
