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

const routerArbitrary = FastCheck.nat({ max: ROUTERS.length - 1 });
const stepArbitrary: FastCheck.Arbitrary<Step> = FastCheck.oneof(
  FastCheck.record({
    kind: FastCheck.constant('run' as const),
    rounds: FastCheck.integer({ min: 1, max: 30 }),
    loss: FastCheck.constantFrom(0, 0.2, 0.6),
  }),
  FastCheck.record({
    kind: FastCheck.constant('report' as const),
    router: routerArbitrary,
    target: FastCheck.nat({ max: 2 }),
    state: FastCheck.constantFrom(0 as const, 1 as const, 2 as const),
  }),
  FastCheck.record({ kind: FastCheck.constant('repeat' as const), index: FastCheck.nat() }),
  FastCheck.record({
    kind: FastCheck.constantFrom('pause' as const, 'wake' as const),
    router: routerArbitrary,
  }),
  FastCheck.record({
    kind: FastCheck.constantFrom('restart' as const, 'accept' as const),
    router: routerArbitrary,
  }),
);

interface Snapshot {
  readonly records: ReadonlyMap<string, PeerRecord>;
  readonly facts: ReadonlyMap<string, TargetFact>;
  readonly incarnations: ReadonlyMap<string, number>;
  readonly revision: number;
}

function readSnapshot(node: Fleets.Node): Snapshot {
  const { peers, targets } = node.state;
  const incarnations = new Map(peers.getRoster().map((entry) => [entry.name, entry.incarnation]));
  return {
    records: new Map(peers.listRecords().map((record) => [record.name, record])),
    facts: new Map(targets.listFacts().map((fact) => [`${fact.target} ${fact.observer}`, fact])),
    incarnations,
    revision: node.configuration.getAnnouncement().revision,
  };
}

/** Fails if a router replaced a record, fact or revision by an older one. */
function verifyNoRegression(before: Snapshot, after: Snapshot): void {
  for (const [name, record] of before.records) {
    const now = after.records.get(name);
    if (now !== undefined) expect(Records.compareRecords(now, record)).toBeGreaterThanOrEqual(0);
  }
  for (const [key, fact] of before.facts) {
    const now = after.facts.get(key);
    const isSameRun =
      before.incarnations.get(fact.observer) === after.incarnations.get(fact.observer);
    if (now !== undefined && isSameRun) expect(now.version).toBeGreaterThanOrEqual(fact.version);
  }
  expect(after.revision).toBeGreaterThanOrEqual(before.revision);
}

function applyStep(fleet: Fleets.Fleet, step: Step, index: number, random: () => number): void {
  if (step.kind === 'run') {
    const isPassed = () => random() >= step.loss;
    Object.assign(fleet, { isDelivered: isPassed, isAnswered: isPassed });
    fleet.runMs(step.rounds * Partners.ROUND_MS);
    return;
  }
  if (step.kind === 'repeat') {
    const deliveredCall = fleet.delivered[step.index % Math.max(1, fleet.delivered.length)];
    if (deliveredCall !== undefined) fleet.handleDuplicate(deliveredCall);
    return;
  }
  const node = fleet.getNode(ROUTERS[step.router] ?? '');
  if (step.kind === 'pause') node.isPaused = true;
  if (step.kind === 'wake') node.isPaused = false;
  if (step.kind === 'accept') {
    const revision = node.configuration.getAnnouncement().revision + index + 1;
    node.configuration.accept({ name: `team-${index}`, revision, text: 'text' });
  }
  if (step.kind === 'restart') {
    node.isDown = true;
    const { name, zone } = node;
    fleet.addNode({ name, zone, incarnation: index + 2, seeds: ['z1-1:1', 'z1-2:1'] });
  }
  if (step.kind === 'report') {
    const report = { target: `engine-${step.target}`, state: STATES[step.state] };
    node.state.targets.recordReport(report, fleet.getNowMs());
  }
}

function simulateSteps(seed: number, steps: readonly Step[]): Fleets.Fleet {
  const random = Fleets.createRandom(seed);
  const fleet = Fleets.createFleet(seed);
  for (const name of ROUTERS) {
    fleet.addNode({ name, zone: name.slice(0, 2), seeds: ['z1-1:1', 'z1-2:1'] });
  }
  fleet.runMs(3_000);
  steps.forEach((step, index) => {
    const before = new Map(fleet.nodes.map((node) => [node, readSnapshot(node)]));
    applyStep(fleet, step, index, random);
    for (const [node, snapshot] of before) verifyNoRegression(snapshot, readSnapshot(node));
  });
  return fleet;
}

describe('lost, delayed and duplicate messages', () => {
  for (const seed of [11, 12, 13, 14]) {
    it(`never reintroduce older facts, and all routers converge afterwards (seed ${seed})`, () => {
      // Guards against older state replacing newer state when the network loses and duplicates
      // messages while routers pause and restart. A minute after the network is reliable again, all
      // routers must have the same state.
      FastCheck.assert(
        FastCheck.property(
          FastCheck.integer(),
          FastCheck.array(stepArbitrary, { minLength: 5, maxLength: 25 }),
          (random, steps) => {
            const fleet = simulateSteps(random, steps);
            fleet.isDelivered = () => true;
            fleet.isAnswered = () => true;
            fleet.nodes.forEach((node) => Object.assign(node, { isPaused: false }));
            fleet.runMs(60_000);
            const running = fleet.nodes.filter(({ isDown }) => !isDown);
            const hashes = new Set(running.map(({ state }) => state.peers.getHash()));
            const revisions = new Set(
              running.map(({ configuration }) => configuration.getAnnouncement().revision),
            );
            expect([hashes.size, revisions.size]).toEqual([1, 1]);
            for (const node of running) expect(Fleets.listAlive(node)).toEqual([...ROUTERS]);
          },
        ),
        { seed, numRuns: 40 },
      );
    });
  }
});
