/** Which faults strike when: follows from the seed and the size alone. */
import type { StoreFault, TargetFault } from '@sequoiarill/standins';

import * as Randoms from './random';
import type { Random } from './random';

export type LinkFault = 'reset' | 'cutBoth' | 'cutToCaller' | 'cutToTarget' | 'stall';
export type RouterFault = 'pause' | 'terminate' | 'kill' | 'reload';

export type Action =
  | { readonly kind: 'storeLink'; readonly router: number; readonly fault: LinkFault }
  | { readonly kind: 'targetLink'; readonly target: number; readonly fault: LinkFault }
  | { readonly kind: 'store'; readonly fault: Exclude<StoreFault, 'none'> }
  | { readonly kind: 'compact' }
  | { readonly kind: 'target'; readonly target: number; readonly fault: TargetFault }
  /** Ends without a word, and comes back at its address as another life. */
  | { readonly kind: 'restart'; readonly target: number }
  /** Says that it leaves, leaves, and comes back as another life. */
  | { readonly kind: 'leave'; readonly target: number }
  | { readonly kind: 'router'; readonly router: number; readonly fault: RouterFault }
  | { readonly kind: 'configure' };

export interface Step {
  readonly atMs: number;
  /** How long the fault lasts, milliseconds. */
  readonly forMs: number;
  readonly action: Action;
}

export interface Size {
  readonly routers: number;
  readonly targets: number;
}

/** Pauses between two steps; faults overlap, since they last longer than most pauses. */
const PAUSE_MS = [60, 900] as const;
const LASTS_MS = [150, 2_500] as const;
/** Some faults come as a series on the same place. */
const SERIES_SHARE = 0.25;
const MAX_SERIES = 4;

const LINK_FAULTS: readonly LinkFault[] = [
  'reset',
  'cutBoth',
  'cutToCaller',
  'cutToTarget',
  'stall',
];
const STORE_FAULTS = ['busy', 'tooMany', 'silent', 'loseWrites'] as const;
const TARGET_FAULTS: readonly TargetFault[] = [
  'dieInStream',
  'fallSilentInStream',
  'unframedHalf',
  'extraAnswer',
  'shed',
  'loseAnswer',
];
const ROUTER_FAULTS: readonly RouterFault[] = ['pause', 'terminate', 'kill', 'reload'];

type PickAction = (random: Random, size: Size) => Action;

const ACTIONS: readonly PickAction[] = [
  (random, { routers }) => ({
    kind: 'storeLink',
    router: random.pickBetween(0, routers - 1),
    fault: random.pickOne(LINK_FAULTS),
  }),
  (random, { targets }) => ({
    kind: 'targetLink',
    target: random.pickBetween(0, targets - 1),
    fault: random.pickOne(LINK_FAULTS),
  }),
  (random) => ({ kind: 'store', fault: random.pickOne(STORE_FAULTS) }),
  () => ({ kind: 'compact' }),
  (random, { targets }) => ({
    kind: 'target',
    target: random.pickBetween(0, targets - 1),
    fault: random.pickOne(TARGET_FAULTS),
  }),
  (random, { targets }) => ({ kind: 'restart', target: random.pickBetween(0, targets - 1) }),
  (random, { targets }) => ({ kind: 'leave', target: random.pickBetween(0, targets - 1) }),
  (random, { routers }) => ({
    kind: 'router',
    router: random.pickBetween(0, routers - 1),
    fault: random.pickOne(ROUTER_FAULTS),
  }),
  () => ({ kind: 'configure' }),
  () => ({ kind: 'configure' }),
];

export function createSchedule(seed: number, lastsMs: number, size: Size): readonly Step[] {
  const random = Randoms.createRandom(seed);
  const steps: Step[] = [];
  let atMs = 0;
  while (atMs < lastsMs) {
    const action = random.pickOne(ACTIONS)(random, size);
    const count = random.next() < SERIES_SHARE ? random.pickBetween(2, MAX_SERIES) : 1;
    for (let index = 0; index < count && atMs < lastsMs; index += 1) {
      atMs += random.pickBetween(...PAUSE_MS);
      steps.push({ atMs, forMs: random.pickBetween(...LASTS_MS), action });
    }
  }
  return steps.filter((step) => step.atMs < lastsMs);
}
