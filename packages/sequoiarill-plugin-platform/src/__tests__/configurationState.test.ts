import { describe, it } from 'node:test';

import type { EventDefinition } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Announcements from '../announcementStore';
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
    announcements: Announcements.createAnnouncementStore(clock, 3_000),
  });
  return { state, events };
}

function createRecord(name: string, revision: number, text: string) {
  return { name, revision, text };
}

describe('configuration state', () => {
  it('builds a snapshot with defaults and reuses the objects of unchanged organisations', () => {
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

  it('never reverts to an older revision, from any source', () => {
    // Failure: a router that was paused, or a platform that was restored from a backup, provides an
    // outdated text. Applying it would revert a change that was accepted and in effect.
    const { state } = createState();
    state.applyRecords([createRecord('models', 9, Fixtures.formatModelSection('new'))]);
    state.applyRecords([createRecord('models', 5, Fixtures.formatModelSection('old'))]);
    state.mergeSections({ readerFence: 99, readerBeat: 1, revision: 9 }, [
      createRecord('models', 8, Fixtures.formatModelSection('old')),
    ]);
    expect(state.getConfiguration().models.get('advisor')?.version).toEqual('new');
  });

  it('keeps the last valid text when a stored one does not parse', () => {
    // Failure: a section is written without the commands and contains a spelling mistake. All
    // routers receive it; dropping the section would reject all callers of a team.
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

  it('withholds unconfirmed records from peers', () => {
    // Failure: of two changes on separate watches, the later one arrives first. A peer that
    // received it would consider itself complete up to that revision and never request the earlier
    // one.
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

  it('marks a VM as leaving if either source does', () => {
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

  it('removes the VMs that changed longest ago above the limit', () => {
    const { state } = createState();
    const records = Array.from({ length: 20_002 }, (unused, index) =>
      createRecord(`vm:vm-${index}`, index + 1, '{"state":"live"}'),
    );
    state.applyRecords(records);
    state.mergeSections({ readerFence: 1, readerBeat: 1, revision: 30_000 }, []);
    const remaining = state.listSectionsAfter(0);
    expect(remaining.length).toEqual(20_000);
    expect(remaining[0]?.name).toEqual('vm:vm-2');
  });

  it('notifies subscribers of each change until they unsubscribe', () => {
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

describe('configuration announcement', () => {
  it('increases with the fencing number and heartbeat of the reader, and never decreases', () => {
    const clock = Kernel.createFakeClock();
    const announcements = Announcements.createAnnouncementStore(clock, 3_000);
    announcements.confirmRevision(7, 20);
    announcements.confirmRevision(7, 21);
    expect(announcements.getAnnouncement()).toEqual({
      readerFence: 7,
      readerBeat: 2,
      revision: 21,
    });
    announcements.mergeAnnouncement({ readerFence: 6, readerBeat: 90, revision: 99 });
    expect(announcements.getAnnouncement()).toEqual({
      readerFence: 7,
      readerBeat: 2,
      revision: 21,
    });
    announcements.mergeAnnouncement({ readerFence: 9, readerBeat: 1, revision: 15 });
    expect(announcements.getAnnouncement()).toEqual({
      readerFence: 9,
      readerBeat: 1,
      revision: 21,
    });
  });

  it('lets a reader with a lower fencing number take over once the higher one is silent', () => {
    // Failure: two zones have one reader each, and the one with the higher fencing number fails.
    // The other continues to read, but all peers would ignore its announcements as outdated.
    const clock = Kernel.createFakeClock();
    const announcements = Announcements.createAnnouncementStore(clock, 3_000);
    announcements.mergeAnnouncement({ readerFence: 9, readerBeat: 5, revision: 30 });
    announcements.confirmRevision(7, 31);
    expect(announcements.getAnnouncement()).toEqual({
      readerFence: 9,
      readerBeat: 5,
      revision: 31,
    });
    clock.simulatePause(3_000);
    announcements.confirmRevision(7, 32);
    expect(announcements.getAnnouncement()).toEqual({
      readerFence: 10,
      readerBeat: 1,
      revision: 32,
    });
  });
});
