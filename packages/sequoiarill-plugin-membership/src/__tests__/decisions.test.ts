import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ConfigurationPull from '../configurationPull';
import * as Deltas from '../delta';
import * as Handlers from '../exchangeHandlers';
import * as Detectors from '../failureDetector';
import * as Publishing from '../publishing';
import * as Facts from '../targetFact';
import type { TargetFact } from '../targetFact';
import * as HealthRegistries from '../targetHealthRegistry';
import * as Fleets from './virtualFleet';

function createFact(overrides: Partial<TargetFact>): TargetFact {
  return { target: 't', state: 'healthy', observer: 'b', version: 1, seenMs: 0, ...overrides };
}

describe('failure detector', () => {
  const roster = [{ name: 'b', incarnation: 1 }];

  it('uses a longer timeout for a router with irregular heartbeats', () => {
    // Guards against constant false suspicions: a busy zone delivers heartbeats in bursts. With a
    // fixed timeout its routers would suspect each other and send probes while they are overloaded.
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    let nowMs = 0;
    for (let version = 1; version <= 40; version += 1) {
      nowMs += version % 2 === 0 ? 200 : 2_200;
      detector.recordVersion('b', version, nowMs);
    }
    expect(detector.decideLiveness('b', nowMs + Detectors.MIN_SUSPECT_SILENCE_MS)).toEqual('alive');
    expect(detector.decideLiveness('b', nowMs + 12_000)).toEqual('suspect');
  });

  it('declares a router dead only after failed probes in addition to silence', () => {
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    expect(detector.decideLiveness('b', 60_000)).toEqual('suspect');
    for (let probe = 0; probe < Detectors.MIN_FAILED_PROBES; probe += 1) {
      detector.recordFailedProbe('b');
    }
    expect(detector.decideLiveness('b', 60_000)).toEqual('dead');
  });

  it('ignores the silence measured during a pause of this process', () => {
    // A router is paused for a minute just after two probes of a slow peer failed. When it resumes,
    // it must not declare the peer dead because of its own pause.
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    detector.recordFailedProbe('b');
    detector.recordFailedProbe('b');
    detector.recordPause(60_000);
    expect(detector.decideLiveness('b', 60_100)).toEqual('alive');
  });

  it('does not accept a duplicate heartbeat as liveness evidence', () => {
    const detector = Detectors.createFailureDetector();
    detector.setRoster(roster, 0);
    detector.recordVersion('b', 5, 100);
    detector.recordVersion('b', 5, 20_000);
    detector.recordVersion('b', 4, 20_000);
    expect(detector.getSilenceMs('b', 20_000)).toEqual(19_900);
  });
});

describe('target health', () => {
  it('follows own observations first, then a majority of others, until facts expire', () => {
    const dead = ['b', 'c'].map((observer) => createFact({ observer, state: 'dead' }));
    const healthy = createFact({ observer: 'd', running: 3 });
    expect(Facts.mergeFacts([...dead, healthy], 'a', 0)?.state).toEqual('dead');
    expect(Facts.mergeFacts([dead[0] ?? healthy, healthy], 'a', 0)?.state).toEqual('healthy');
    const own = createFact({ observer: 'a' });
    expect(Facts.mergeFacts([...dead, own], 'a', 0)?.state).toEqual('healthy');
    expect(Facts.mergeFacts(dead, 'a', Facts.MAX_DEAD_FACT_AGE_MS)).toEqual(undefined);
  });

  it('accepts from any observer that a target is leaving', () => {
    const facts = [createFact({ observer: 'a' }), createFact({ state: 'leaving' })];
    expect(Facts.mergeFacts(facts, 'a', 0)?.state).toEqual('leaving');
  });

  it('withdraws the facts of a router that others considered dead', () => {
    const fleet = Fleets.createZones(1, 1, 2);
    fleet.runMs(5_000);
    const { peers, targets, mergeRecords } = fleet.getNode('z1-1').state;
    targets.recordReport({ target: 't', state: 'dead' }, fleet.getNowMs());
    mergeRecords([{ ...peers.getSelf(), state: 'dead' }]);
    expect(targets.listFacts()).toEqual([]);
    expect(peers.getSelf().incarnation).toEqual(2);
  });
});

describe('publishing of facts', () => {
  const report = { target: 't', state: 'healthy' } as const;
  const limitMs = Publishing.LOAD_REFRESH_MS;

  it('publishes load by one router per target, and a state change by all', () => {
    // 32 routers observe the load of a target each second. If each published it, the control
    // traffic of the zone would be 20 times over its budget and delay the state changes.
    const known = [createFact({ observer: 'b' })];
    const decide = (rank: number, nowMs: number) =>
      Publishing.decidePublishing({ report, published: undefined, knownFacts: known, rank, nowMs });
    expect(decide(0, limitMs - 1)).toEqual('withhold');
    expect(decide(0, limitMs)).toEqual('load');
    expect(decide(1, limitMs)).toEqual('withhold');
    expect(decide(1, limitMs + Publishing.RANK_DELAY_MS)).toEqual('load');
    const change = { target: 't', state: 'dead' } as const;
    const input = { report: change, published: undefined, knownFacts: known, rank: 9, nowMs: 1 };
    expect(Publishing.decidePublishing(input)).toEqual('stateChange');
  });

  it('continues where a limited delta ended', () => {
    // A router resumes after minutes and lacks more facts than one response contains. If the
    // response reported all versions as complete, the remaining facts would never be sent.
    const registry = HealthRegistries.createTargetHealthRegistry('a', Fleets.hashText);
    registry.setRoster([{ name: 'a', incarnation: 1 }]);
    ['t1', 't2', 't3'].forEach((target) => registry.recordReport({ target, state: 'dead' }, 0));
    const first = registry.listDelta([0], 0, 2);
    expect(first.versions).toEqual([2]);
    const second = registry.listDelta(first.versions, 0, 2);
    expect(second.versions).toEqual([3]);
    expect(second.observers.flatMap(({ facts }) => facts.map(({ target }) => target))).toEqual([
      't3',
    ]);
    expect(Deltas.selectDelta([], 2)).toEqual({ versions: [], observers: [] });
  });
});

describe('configuration announcements', () => {
  it("adopts the zone reader's state within a zone, and only the revision from other zones", () => {
    // Each zone has its own reader. The reader of the other zone was elected later, so its fencing
    // number is higher. If it were adopted, every confirmation of the local reader would look old
    // and the whole zone would read from the platform instead.
    const own = { readerFence: 3, readerBeat: 9, revision: 20 };
    const peer = { readerFence: 8, readerBeat: 1, revision: 21 };
    expect(ConfigurationPull.selectAnnouncement(own, peer, true)).toEqual(peer);
    expect(ConfigurationPull.selectAnnouncement(own, peer, false)).toEqual({
      ...own,
      revision: 21,
    });
    const { state } = Fleets.createZones(1, 2, 1).getNode('z1-1');
    state.configuration.mergeSections(own, []);
    state.mergeRecords([{ ...state.peers.getSelf(), name: 'z2-1', zone: 'z2', address: 'z2-1:1' }]);
    const input = { ...state.buildExchangeInput(), from: 'z2-1' };
    Handlers.handleExchange(state, { ...input, configuration: { ...peer, revision: 20 } });
    expect(state.configuration.getAnnouncement()).toEqual(own);
  });
});
