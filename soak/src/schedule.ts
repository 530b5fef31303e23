/** Creates the schedule of faults, which depends on the seed, the duration and the size only. */
import * as Standins from '@sequoiarill/standins';
import type { EndlessForm, StoreFault, TargetFault } from '@sequoiarill/standins';

import { CONFIGURATION_CHANGES } from './configuration';
import type { ConfigurationChange } from './configuration';
import * as Randoms from './random';
import type { Random } from './random';

export type LinkFault = 'reset' | 'cutBoth' | 'cutToCaller' | 'cutToTarget' | 'stall';
/** `refuse`: new connections are refused while open ones live on. */
export type PartitionFault = LinkFault | 'refuse';
export type RouterFault = 'pause' | 'terminate' | 'kill' | 'reload';

export type Action =
  | { readonly kind: 'storeLink'; readonly router: number; readonly fault: LinkFault }
  | { readonly kind: 'targetLink'; readonly target: number; readonly fault: LinkFault }
  | { readonly kind: 'store'; readonly fault: Exclude<StoreFault, 'none'> }
  | { readonly kind: 'compact' }
  | { readonly kind: 'target'; readonly target: number; readonly fault: TargetFault }
  /** The target exits without notice and starts again at its address as a new incarnation. */
  | { readonly kind: 'restart'; readonly target: number }
  /** The target announces that it leaves, exits, and starts again as a new incarnation. */
  | { readonly kind: 'leave'; readonly target: number }
  /** The target says in its answers that it leaves, exits, and starts again; its entry still says ready. */
  | { readonly kind: 'announceLeaving'; readonly target: number }
  /** The target refuses requests and asks for rest. */
  | { readonly kind: 'rest'; readonly target: number }
  /** The store goes back to a copy of itself that is as old as the fault lasts. */
  | { readonly kind: 'restoreStore' }
  /** Open connections of these routers to the store carry nothing any more; new ones work. */
  | { readonly kind: 'silence'; readonly routers: readonly number[] }
  /** These routers lose their links to all targets, and nothing else. */
  | {
      readonly kind: 'partition';
      readonly routers: readonly number[];
      readonly fault: PartitionFault;
    }
  | { readonly kind: 'router'; readonly router: number; readonly fault: RouterFault }
  /** The processes of these routers are killed at the same moment. */
  | { readonly kind: 'killRouters'; readonly routers: readonly number[] }
  /** A configuration is written, and soon after it these targets of one service fall silent together. */
  | { readonly kind: 'silentTargets'; readonly targets: readonly number[]; readonly leadMs: number }
  /** Configurations have the change for a while. */
  | { readonly kind: 'change'; readonly change: ConfigurationChange }
  /** A target sends without end in place of its answers to requests, or to the calls of routers. */
  | {
      readonly kind: 'flood';
      readonly flooding: number;
      readonly form: EndlessForm;
      readonly scope: 'requests' | 'calls';
    }
  | { readonly kind: 'configure' };

export interface Step {
  readonly atMs: number;
  /** Duration of the fault. */
  readonly forMs: number;
  readonly action: Action;
}

export interface SystemSize {
  readonly routers: number;
  readonly targets: number;
  /** The first so many targets are engines, the others plain services. */
  readonly engines: number;
}

/** Pause between two steps. Faults overlap, since most last longer than a pause. */
const STEP_PAUSE_MS = [60, 900] as const;
const FAULT_DURATION_MS = [150, 2_500] as const;
/** Share of the actions that are repeated as a series on the same component. */
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

type PickAction = (random: Random, size: SystemSize) => Action;

const ACTION_PICKERS: readonly PickAction[] = [
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

/** Drawn apart from the others, so that those stay as they were for every seed. */
const LATER_ACTION_PICKERS: readonly PickAction[] = [
  (random, { targets }) => ({
    kind: 'announceLeaving',
    target: random.pickBetween(0, targets - 1),
  }),
  (random, { targets }) => ({ kind: 'rest', target: random.pickBetween(0, targets - 1) }),
  () => ({ kind: 'restoreStore' }),
];
const LATER_STEP_PAUSE_MS = [400, 2_500] as const;
/** Makes the second series of a seed differ from the first. */
const LATER_SEED_OFFSET = 500_000;

function listNumbers(count: number): readonly number[] {
  return Array.from({ length: count }, (_one, index) => index);
}

/** Connections that turn silent, each time followed by a change that must be in force all the same. */
const SILENCE_PICKERS: readonly PickAction[] = [
  (random, { routers }) => ({ kind: 'silence', routers: [random.pickBetween(0, routers - 1)] }),
  (_random, { routers }) => ({ kind: 'silence', routers: listNumbers(routers) }),
  () => ({ kind: 'configure' }),
];
const SILENCE_STEP_PAUSE_MS = [200, 2_500] as const;
const SILENCE_SEED_OFFSET = 1_000_000;

/** Routers without targets: one of them, some, or all but one. */
const PARTITION_PICKERS: readonly PickAction[] = [
  (random, { routers }) => ({
    kind: 'partition',
    routers: [random.pickBetween(0, routers - 1)],
    fault: random.pickOne([...LINK_FAULTS, 'refuse']),
  }),
  (random, { routers }) => ({
    kind: 'partition',
    routers: listNumbers(random.pickBetween(1, Math.max(1, routers - 1))),
    fault: random.pickOne([...LINK_FAULTS, 'refuse']),
  }),
];
const PARTITION_STEP_PAUSE_MS = [2_000, 6_000] as const;
const PARTITION_SEED_OFFSET = 1_500_000;

/** Routers killed together: some of them or all. */
const KILL_PICKERS: readonly PickAction[] = [
  (random, { routers }) => ({
    kind: 'killRouters',
    routers: listNumbers(random.pickBetween(1, routers)),
  }),
];
const KILL_STEP_PAUSE_MS = [3_000, 9_000] as const;
const KILL_SEED_OFFSET = 2_000_000;

const ALL_SILENT_SHARE = 0.5;

/** All targets of a service that are silent, or all but one. */
function pickSilent(random: Random, { targets, engines }: SystemSize): readonly number[] {
  const all = listNumbers(targets);
  const ofService = random.pickOne([all.slice(0, engines), all.slice(engines)]);
  const spared = random.next() < ALL_SILENT_SHARE ? undefined : random.pickOne(ofService);
  return ofService.filter((target) => target !== spared);
}

const TARGET_SILENCE_PICKERS: readonly PickAction[] = [
  (random, size) => ({
    kind: 'silentTargets',
    targets: pickSilent(random, size),
    leadMs: random.pickBetween(0, 600),
  }),
];
const TARGET_SILENCE_STEP_PAUSE_MS = [2_500, 5_000] as const;
const TARGET_SILENCE_MS = [500, 3_000] as const;
const TARGET_SILENCE_SEED_OFFSET = 2_500_000;

const CHANGE_PICKERS: readonly PickAction[] = [
  (random) => ({ kind: 'change', change: random.pickOne(CONFIGURATION_CHANGES) }),
];
const CHANGE_STEP_PAUSE_MS = [800, 3_000] as const;
const CHANGE_SEED_OFFSET = 3_000_000;
/** Forms whose bytes are passed on under the signature of their target, which `whole` takes for wrong bytes. */
const UNCHECKED_FORMS: readonly EndlessForm[] = ['body', 'comments', 'eventsWithoutId'];
const ENGINE_FORMS = Standins.ENDLESS_FORMS.filter((form) => !UNCHECKED_FORMS.includes(form));
/** A plain answer is passed on whatever it contains. */
const SERVICE_FORMS = ENGINE_FORMS.filter((form) => form !== 'event');
const CALLS_SHARE = 0.25;

const FLOOD_PICKERS: readonly PickAction[] = [
  (random, { targets, engines }) => {
    const flooding = random.pickBetween(0, targets - 1);
    return {
      kind: 'flood',
      flooding,
      form: random.pickOne(flooding < engines ? ENGINE_FORMS : SERVICE_FORMS),
      scope: random.next() < CALLS_SHARE ? 'calls' : 'requests',
    };
  },
];
const FLOOD_STEP_PAUSE_MS = [800, 2_500] as const;
const FLOOD_MS = [500, 3_000] as const;
const FLOOD_SEED_OFFSET = 4_000_000;

/** Ends and answers that are taken for others: a reset with the last bytes, a refusal that comes again. */
const CONFUSING_PICKERS: readonly PickAction[] = [
  (random, { targets }) => ({
    kind: 'target',
    target: random.pickBetween(0, targets - 1),
    fault: random.pickOne(['unframedReset', 'lateRefusal'] as const),
  }),
];
const CONFUSING_STEP_PAUSE_MS = [600, 2_500] as const;
const CONFUSING_SEED_OFFSET = 4_500_000;

interface DrawLimits {
  readonly durationMs: number;
  readonly size: SystemSize;
  readonly faultMs?: readonly [number, number];
}

function createSteps(
  random: Random,
  pickers: readonly PickAction[],
  pauseMs: readonly [number, number],
  { durationMs, size, faultMs = FAULT_DURATION_MS }: DrawLimits,
): readonly Step[] {
  const steps: Step[] = [];
  let atMs = 0;
  while (atMs < durationMs) {
    const action = random.pickOne(pickers)(random, size);
    const count = random.next() < SERIES_SHARE ? random.pickBetween(2, MAX_SERIES) : 1;
    for (let index = 0; index < count && atMs < durationMs; index += 1) {
      atMs += random.pickBetween(...pauseMs);
      steps.push({ atMs, forMs: random.pickBetween(...faultMs), action });
    }
  }
  return steps.filter((step) => step.atMs < durationMs);
}

interface Series {
  /** Each series is drawn apart, so that the others stay as they were for every seed. */
  readonly seedOffset: number;
  readonly pickers: readonly PickAction[];
  readonly pauseMs: readonly [number, number];
  readonly faultMs?: readonly [number, number];
}

const SERIES: readonly Series[] = [
  { seedOffset: 0, pickers: ACTION_PICKERS, pauseMs: STEP_PAUSE_MS },
  { seedOffset: LATER_SEED_OFFSET, pickers: LATER_ACTION_PICKERS, pauseMs: LATER_STEP_PAUSE_MS },
  { seedOffset: SILENCE_SEED_OFFSET, pickers: SILENCE_PICKERS, pauseMs: SILENCE_STEP_PAUSE_MS },
  {
    seedOffset: PARTITION_SEED_OFFSET,
    pickers: PARTITION_PICKERS,
    pauseMs: PARTITION_STEP_PAUSE_MS,
  },
  { seedOffset: KILL_SEED_OFFSET, pickers: KILL_PICKERS, pauseMs: KILL_STEP_PAUSE_MS },
  {
    seedOffset: TARGET_SILENCE_SEED_OFFSET,
    pickers: TARGET_SILENCE_PICKERS,
    pauseMs: TARGET_SILENCE_STEP_PAUSE_MS,
    faultMs: TARGET_SILENCE_MS,
  },
  { seedOffset: CHANGE_SEED_OFFSET, pickers: CHANGE_PICKERS, pauseMs: CHANGE_STEP_PAUSE_MS },
  {
    seedOffset: FLOOD_SEED_OFFSET,
    pickers: FLOOD_PICKERS,
    pauseMs: FLOOD_STEP_PAUSE_MS,
    faultMs: FLOOD_MS,
  },
  {
    seedOffset: CONFUSING_SEED_OFFSET,
    pickers: CONFUSING_PICKERS,
    pauseMs: CONFUSING_STEP_PAUSE_MS,
  },
];

export function createSchedule(
  seed: number,
  durationMs: number,
  size: SystemSize,
): readonly Step[] {
  return SERIES.flatMap(({ seedOffset, pickers, pauseMs, faultMs }) =>
    createSteps(Randoms.createRandom(seed + seedOffset), pickers, pauseMs, {
      durationMs,
      size,
      ...(faultMs === undefined ? {} : { faultMs }),
    }),
  ).sort((left, right) => left.atMs - right.atMs);
}
