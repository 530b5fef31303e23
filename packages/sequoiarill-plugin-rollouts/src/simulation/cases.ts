/** Simulated roll-outs with fixed seeds, over fleets of three sizes. */
import type { RolloutCase } from './rolloutCase';

const PLAIN: RolloutCase = {
  name: 'plain',
  routers: 80,
  requestsPerSecond: 190,
  routes: ['writes', 'reads'],
  meanRequestMs: 60,
  hasStreams: false,
  oldTargets: 7,
  newTargets: 7,
  durationMs: 12_000,
  baseFailureShare: 0.02,
  faults: [],
  seed: 1,
};

const STREAMS: RolloutCase = {
  ...PLAIN,
  name: 'streams',
  requestsPerSecond: 28,
  routes: ['first', 'second', 'third'],
  meanRequestMs: 1_500,
  hasStreams: true,
  oldTargets: 126,
  newTargets: 126,
};

const FAILS = { share: 0.4, how: 'fails' } as const;
const SLOW = { share: 0.5, how: 'slow' } as const;

export const CASES: readonly RolloutCase[] = [
  { ...PLAIN, name: 'sound, orders' },
  { ...STREAMS, name: 'sound, streams' },
  { ...PLAIN, name: 'sound, 7 routers', routers: 7, requestsPerSecond: 50 },
  {
    ...PLAIN,
    name: 'sound, 300 routers',
    routers: 300,
    requestsPerSecond: 600,
    oldTargets: 21,
    newTargets: 21,
  },
  { ...PLAIN, name: 'fails at once', bad: FAILS },
  { ...PLAIN, name: 'fails at once, 7 routers', routers: 7, requestsPerSecond: 50, bad: FAILS },
  {
    ...PLAIN,
    name: 'fails at once, 300 routers',
    routers: 300,
    requestsPerSecond: 600,
    oldTargets: 21,
    newTargets: 21,
    bad: FAILS,
  },
  { ...PLAIN, name: 'slow at once', bad: SLOW },
  { ...PLAIN, name: 'fails on one route', bad: { ...FAILS, route: 'reads' } },
  { ...PLAIN, name: 'fails later', bad: { ...FAILS, fromMs: 4_000 } },
  { ...PLAIN, name: 'slow under load', bad: { ...SLOW, onlyUnderLoad: true } },
  { ...STREAMS, name: 'streams fail at once', bad: FAILS },
  { ...STREAMS, name: 'streams slow later', bad: { ...SLOW, fromMs: 3_000 } },
  {
    ...PLAIN,
    name: 'sound, store away',
    faults: [{ kind: 'storeUnavailable', atMs: 3_000, forMs: 4_000 }],
  },
  {
    ...PLAIN,
    name: 'sound, answers lost',
    faults: [{ kind: 'responsesLost', atMs: 0, forMs: 12_000 }],
  },
  {
    ...PLAIN,
    name: 'sound, zone cut',
    faults: [{ kind: 'zoneIsolated', atMs: 4_000, forMs: 3_000 }],
  },
  {
    ...PLAIN,
    name: 'sound, writer dies',
    faults: [
      { kind: 'writerCrash', atMs: 2_000 },
      { kind: 'writerCrash', atMs: 8_500 },
    ],
  },
  { ...PLAIN, name: 'sound, a new target crashes', faults: [{ kind: 'targetCrash', atMs: 3_000 }] },
  {
    ...PLAIN,
    name: 'sound, a new target fails',
    faults: [{ kind: 'targetFailing', atMs: 2_000, forMs: 5_000 }],
  },
  {
    ...PLAIN,
    name: 'sound, some of all fail',
    faults: [{ kind: 'targetsFailing', atMs: 3_000, forMs: 4_000 }],
  },
  {
    ...PLAIN,
    name: 'fails, writer dies',
    bad: FAILS,
    faults: [{ kind: 'writerCrash', atMs: 1_500 }],
  },
  {
    ...PLAIN,
    name: 'ordered twice',
    faults: [{ kind: 'order', atMs: 5_000, toVersion: 'v2' }],
  },
];
