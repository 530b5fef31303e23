import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as Partners from '../partners';
import * as Records from '../peerRecord';
import type { PeerRecord } from '../peerRecord';
import type { TargetFact } from '../targetFact';
import * as Fleets from './virtualFleet';

const ROUTERS = ['z1-1', 'z1-2', 'z1-3', 'z2-1'];
const STATES = ['healthy', 'slow', 'dead'] as const;

type Step =
  | { readonly kind: 'run'; readonly rounds: number; readonly loss: number }
  | {
      readonly kind: 'report';
      readonly router: number;
      readonly target: number;
      readonly state: 0 | 1 | 2;
    }
  | { readonly kind: 'repeat'; readonly index: number }
  | { readonly kind: 'pause'; readonly router: number }
  | { readonly kind: 'wake'; readonly router: number }
  | { readonly kind: 'restart'; readonly router: number }
  | { readonly kind: 'accept'; readonly router: number };

const router = FastCheck.nat({ max: ROUTERS.length - 1 });
const step: FastCheck.Arbitrary<Step> = FastCheck.oneof(
  FastCheck.record({
    kind: FastCheck.constant('run' as const),
    rounds: FastCheck.integer({ min: 1, max: 30 }),
    loss: FastCheck.constantFrom(0, 0.2, 0.6),
  }),
  FastCheck.record({
    kind: FastCheck.constant('report' as const),
    router,
    target: FastCheck.nat({ max: 2 }),
    state: FastCheck.constantFrom(0 as const, 1 as const, 2 as const),
  }),
  FastCheck.record({ kind: FastCheck.constant('repeat' as const), index: FastCheck.nat() }),
  FastCheck.record({
    kind: FastCheck.constantFrom('pause' as const, 'wake' as const),
    router,
  }),
  FastCheck.record({
    kind: FastCheck.constantFrom('restart' as const, 'accept' as const),
    router,
  }),
);

interface Seen {
  readonly records: ReadonlyMap<string, PeerRecord>;
  readonly facts: ReadonlyMap<string, TargetFact>;
  readonly incarnations: ReadonlyMap<string, number>;
  readonly revision: number;
}

function readSeen(node: Fleets.Node): Seen {
  const { peers, targets } = node.state;
  const incarnations = new Map(peers.getRoster().map((entry) => [entry.name, entry.incarnation]));
  return {
    records: new Map(peers.listRecords().map((record) => [record.name, record])),
    facts: new Map(targets.listFacts().map((fact) => [`${fact.target} ${fact.observer}`, fact])),
    incarnations,
    revision: node.configuration.getAnnouncement().revision,
  };
}

/** Nothing that a router knew may have become older. */
function checkOnlyRose(before: Seen, after: Seen): void {
  for (const [name, record] of before.records) {
    const now = after.records.get(name);
    if (now !== undefined) expect(Records.compareRecords(now, record)).toBeGreaterThanOrEqual(0);
  }
  for (const [key, fact] of before.facts) {
    const now = after.facts.get(key);
    const isSameLife =
      before.incarnations.get(fact.observer) === after.incarnations.get(fact.observer);
    if (now !== undefined && isSameLife) expect(now.version).toBeGreaterThanOrEqual(fact.version);
  }
  expect(after.revision).toBeGreaterThanOrEqual(before.revision);
}

function playStep(fleet: Fleets.Fleet, taken: Step, index: number, random: () => number): void {
  if (taken.kind === 'run') {
    const isKept = () => random() >= taken.loss;
    Object.assign(fleet, { isDelivered: isKept, isAnswered: isKept });
    fleet.runMs(taken.rounds * Partners.ROUND_MS);
    return;
  }
  if (taken.kind === 'repeat') {
    const arrived = fleet.arrived[taken.index % Math.max(1, fleet.arrived.length)];
    if (arrived !== undefined) fleet.repeatCall(arrived);
    return;
  }
  const node = fleet.getNode(ROUTERS[taken.router] ?? '');
  if (taken.kind === 'pause') node.isPaused = true;
  if (taken.kind === 'wake') node.isPaused = false;
  if (taken.kind === 'accept') {
    const revision = node.configuration.getAnnouncement().revision + index + 1;
    node.configuration.accept({ name: `team-${index}`, revision, text: 'text' });
  }
  if (taken.kind === 'restart') {
    node.isDown = true;
    const { name, zone } = node;
    fleet.addNode({ name, zone, incarnation: index + 2, seeds: ['z1-1:1', 'z1-2:1'] });
  }
  if (taken.kind === 'report') {
    const report = { target: `engine-${taken.target}`, state: STATES[taken.state] };
    node.state.targets.recordReport(report, fleet.getNowMs());
  }
}

function playSteps(seed: number, steps: readonly Step[]): Fleets.Fleet {
  const random = Fleets.createRandom(seed);
  const fleet = Fleets.createFleet(seed);
  for (const name of ROUTERS) {
    fleet.addNode({ name, zone: name.slice(0, 2), seeds: ['z1-1:1', 'z1-2:1'] });
  }
  fleet.runMs(3_000);
  steps.forEach((taken, index) => {
    const before = new Map(fleet.nodes.map((node) => [node, readSeen(node)]));
    playStep(fleet, taken, index, random);
    for (const [node, seen] of before) checkOnlyRose(seen, readSeen(node));
  });
  return fleet;
}

describe('lost, late and repeated messages', () => {
  for (const seed of [11, 12, 13, 14]) {
    it(`never bring back older facts, and all agree afterwards (seed ${seed})`, () => {
      // A switch drops and repeats frames for a minute, while routers pause and restart. Nobody
      // may go back to an older fact; a minute after the switch is replaced all agree.
      FastCheck.assert(
        FastCheck.property(
          FastCheck.integer(),
          FastCheck.array(step, { minLength: 5, maxLength: 25 }),
          (random, steps) => {
            const fleet = playSteps(random, steps);
            fleet.isDelivered = () => true;
            fleet.isAnswered = () => true;
            fleet.nodes.forEach((node) => Object.assign(node, { isPaused: false }));
            fleet.runMs(60_000);
            const living = fleet.nodes.filter(({ isDown }) => !isDown);
            const hashes = new Set(living.map(({ state }) => state.peers.getHash()));
            const revisions = new Set(
              living.map(({ configuration }) => configuration.getAnnouncement().revision),
            );
            expect([hashes.size, revisions.size]).toEqual([1, 1]);
            for (const node of living) expect(Fleets.listLiving(node)).toEqual([...ROUTERS]);
          },
        ),
        { seed, numRuns: 40 },
      );
    });
  }
});
