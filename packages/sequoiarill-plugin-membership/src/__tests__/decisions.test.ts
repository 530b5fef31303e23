import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ConfigurationPull from '../configurationPull';
import * as Deltas from '../delta';
import * as Answers from '../exchangeHandlers';
import * as Detectors from '../failureDetector';
import * as Publishing from '../publishing';
import * as Facts from '../targetFact';
import type { TargetFact } from '../targetFact';
import * as TargetTables from '../targetHealthRegistry';
import * as Fleets from './virtualFleet';

function createFact(parts: Partial<TargetFact>): TargetFact {
  return { target: 't', state: 'healthy', observer: 'b', version: 1, seenMs: 0, ...parts };
}

describe('failure detector', () => {
  const roster = [{ name: 'b', incarnation: 1 }];

  it('waits longer for a router whose heartbeats come irregularly', () => {
    // A busy zone delivers heartbeats in bursts. With a fixed limit its routers would suspect each
    // other all the time, and each suspicion costs probes when there is least time for them.
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    let nowMs = 0;
    for (let beat = 1; beat <= 40; beat += 1) {
      nowMs += beat % 2 === 0 ? 200 : 2_200;
      detector.recordVersion('b', beat, nowMs);
    }
    expect(detector.decideLiveness('b', nowMs + Detectors.MIN_SUSPECT_MS)).toEqual('alive');
    expect(detector.decideLiveness('b', nowMs + 12_000)).toEqual('suspect');
  });

  it('needs failed probes beside silence', () => {
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    expect(detector.decideLiveness('b', 60_000)).toEqual('suspect');
    for (let probe = 0; probe < Detectors.MIN_FAILED_PROBES; probe += 1) {
      detector.recordFailedProbe('b');
    }
    expect(detector.decideLiveness('b', 60_000)).toEqual('dead');
  });

  it('does not count silence during a pause of its own', () => {
    // A router is stopped for a minute just after two probes of a slow neighbour failed. On waking
    // it would declare the neighbour dead by its own absence.
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    detector.recordFailedProbe('b');
    detector.recordFailedProbe('b');
    detector.restartSilence(60_000);
    expect(detector.decideLiveness('b', 60_100)).toEqual('alive');
  });

  it('does not take a repeated heartbeat for life', () => {
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    detector.recordVersion('b', 5, 100);
    detector.recordVersion('b', 5, 20_000);
    detector.recordVersion('b', 4, 20_000);
    expect(detector.getSilenceMs('b', 20_000)).toEqual(19_900);
  });
});

describe('target health', () => {
  it('believes a majority of others, the own eyes first, and nobody for ever', () => {
    const dead = ['b', 'c'].map((observer) => createFact({ observer, state: 'dead' }));
    const healthy = createFact({ observer: 'd', running: 3 });
    expect(Facts.mergeFacts([...dead, healthy], 'a', 0)?.state).toEqual('dead');
    expect(Facts.mergeFacts([dead[0] ?? healthy, healthy], 'a', 0)?.state).toEqual('healthy');
    const own = createFact({ observer: 'a' });
    expect(Facts.mergeFacts([...dead, own], 'a', 0)?.state).toEqual('healthy');
    expect(Facts.mergeFacts(dead, 'a', Facts.DEAD_FRESH_MS)).toEqual(undefined);
  });

  it('believes anybody that a target leaves', () => {
    const facts = [createFact({ observer: 'a' }), createFact({ state: 'leaving' })];
    expect(Facts.mergeFacts(facts, 'a', 0)?.state).toEqual('leaving');
  });

  it('withdraws what a router told that was taken for dead', () => {
    const fleet = Fleets.createZones(1, 1, 2);
    fleet.runMs(5_000);
    const { peers, targets, mergeRecords } = fleet.getNode('z1-1').state;
    targets.recordReport({ target: 't', state: 'dead' }, fleet.getNowMs());
    mergeRecords([{ ...peers.getSelf(), state: 'dead' }]);
    expect(targets.listFacts()).toEqual([]);
    expect(peers.getSelf().incarnation).toEqual(2);
  });
});

describe('what is told', () => {
  const report = { target: 't', state: 'healthy' } as const;
  const limitMs = Publishing.LOAD_REFRESH_MS;

  it('tells load by one router a target, and a change of state by all', () => {
    // 32 routers see the load of a target each second. If each told it, the zone's control traffic
    // would be 20 times over its budget and starve the facts that matter.
    const known = [createFact({ observer: 'b' })];
    const ask = (rank: number, nowMs: number) =>
      Publishing.decidePublishing({ report, told: undefined, known, rank, nowMs });
    expect(ask(0, limitMs - 1)).toEqual('withhold');
    expect(ask(0, limitMs)).toEqual('load');
    expect(ask(1, limitMs)).toEqual('withhold');
    expect(ask(1, limitMs + Publishing.RANK_DELAY_MS)).toEqual('load');
    const change = { target: 't', state: 'dead' } as const;
    const question = { report: change, told: undefined, known, rank: 9, nowMs: 1 };
    expect(Publishing.decidePublishing(question)).toEqual('stateChange');
  });

  it('goes on where a cut delta ended', () => {
    // A router returns after minutes and lacks more facts than one answer holds. If the answer
    // claimed all versions, the rest would never be sent.
    const table = TargetTables.createTargetHealthRegistry('a', Fleets.hashText);
    table.setRoster([{ name: 'a', incarnation: 1 }]);
    ['t1', 't2', 't3'].forEach((target) => table.recordReport({ target, state: 'dead' }, 0));
    const first = table.listDelta([0], 0, 2);
    expect(first.versions).toEqual([2]);
    const second = table.listDelta(first.versions, 0, 2);
    expect(second.versions).toEqual([3]);
    expect(second.observers.flatMap(({ facts }) => facts.map(({ target }) => target))).toEqual([
      't3',
    ]);
    expect(Deltas.selectDelta([], 2)).toEqual({ versions: [], observers: [] });
  });
});

describe('news of the document', () => {
  it("takes a zone mate's reader for its own, and of other zones only the sections", () => {
    // Each zone has a reader of its own. The other zone's took its duty later, so its fencing
    // number is higher; taken over, it would make each confirmation of the own one look old and
    // the whole zone would ask the platform instead.
    const own = { readerFence: 3, readerBeat: 9, revision: 20 };
    const peer = { readerFence: 8, readerBeat: 1, revision: 21 };
    expect(ConfigurationPull.selectNews(own, peer, true)).toEqual(peer);
    expect(ConfigurationPull.selectNews(own, peer, false)).toEqual({ ...own, revision: 21 });
    const { state } = Fleets.createZones(1, 2, 1).getNode('z1-1');
    state.configuration.mergeSections(own, []);
    state.mergeRecords([{ ...state.peers.getSelf(), name: 'z2-1', zone: 'z2', address: 'z2-1:1' }]);
    const input = { ...state.buildInput(), from: 'z2-1' };
    Answers.handleExchange(state, { ...input, configuration: { ...peer, revision: 20 } });
    expect(state.configuration.getAnnouncement()).toEqual(own);
  });
});
