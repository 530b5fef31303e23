/** What happens to a fleet that has more to repeat than it may. */
import type { LinkStandin, TargetStandin } from '@sequoiarill/standins';

import type { Fleet } from './fleet';

export interface Row {
  readonly name: string;
  readonly disturb: (fleet: Fleet) => Promise<void>;
  readonly hasTargetLinks?: boolean;
  readonly hasRouterLinks?: boolean;
}

const KILL_INTERVAL_MS = 4_000;
const TURN_MS = 1_500;
const CUT_MS = 12_000;
const READ_PERIOD_MS = 1_500;
const UNREAD_MS = 900;

async function waitMs(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function runRepeatedly(
  times: number,
  intervalMs: number,
  act: (time: number) => Promise<unknown>,
): Promise<void> {
  const actions: Promise<unknown>[] = [];
  for (let time = 0; time < times; time += 1) {
    actions.push(act(time));
    await waitMs(intervalMs);
  }
  await Promise.all(actions);
}

function createRestarts(
  signals: readonly ('SIGKILL' | 'SIGTERM')[],
  times: number,
): Row['disturb'] {
  return ({ routers }) =>
    runRepeatedly(times, KILL_INTERVAL_MS, () =>
      Promise.all(
        routers.map((router, index) =>
          router.restart(signals[index % signals.length] ?? 'SIGKILL'),
        ),
      ),
    );
}

function createRestartsInTurn(signal: 'SIGKILL' | 'SIGTERM'): Row['disturb'] {
  return ({ routers }) =>
    runRepeatedly(Math.min(routers.length, 12), TURN_MS, async (index) =>
      routers[index]?.restart(signal),
    );
}

function createHold(
  selectLinks: (fleet: Fleet) => readonly LinkStandin[],
  ms: number,
  times = 1,
): Row['disturb'] {
  return (fleet) =>
    runRepeatedly(times, 2 * ms, async () => {
      selectLinks(fleet).forEach((link) => link.stall());
      await waitMs(ms);
      selectLinks(fleet).forEach((link) => link.heal());
    });
}

/** Lets a target read nothing for most of the time, from a share of the period on. */
async function readLate(target: TargetStandin, phase: number): Promise<void> {
  await waitMs(phase * READ_PERIOD_MS);
  await runRepeatedly(CUT_MS / READ_PERIOD_MS, READ_PERIOD_MS, async () => {
    target.setSilent(true);
    await waitMs(UNREAD_MS);
    target.setSilent(false);
  });
}

export const ROWS: readonly Row[] = [
  { name: 'calm', disturb: async () => undefined },
  { name: 'all killed', disturb: createRestarts(['SIGKILL'], 1) },
  { name: 'all killed three times in 8 s', disturb: createRestarts(['SIGKILL'], 3) },
  { name: 'each killed in turn', disturb: createRestartsInTurn('SIGKILL') },
  { name: 'each stopped as planned in turn', disturb: createRestartsInTurn('SIGTERM') },
  { name: 'all stopped as planned three times', disturb: createRestarts(['SIGTERM'], 3) },
  {
    name: 'half killed and half stopped, twice',
    disturb: createRestarts(['SIGKILL', 'SIGTERM'], 2),
  },
  {
    name: 'each stands still in turn',
    disturb: ({ routers }) =>
      runRepeatedly(Math.min(routers.length, 9), 1_000, async (index) =>
        routers[index]?.pause(2_500),
      ),
  },
  {
    name: 'all stand still twice',
    disturb: ({ routers }) =>
      runRepeatedly(2, 6_000, () => Promise.all(routers.map((router) => router.pause(3_000)))),
  },
  { name: 'cut from each other', disturb: createHold(({ peerLinks }) => peerLinks, CUT_MS) },
  { name: 'cut from the store', disturb: createHold(({ storeLinks }) => storeLinks, CUT_MS) },
  {
    name: 'cut from both',
    disturb: createHold(({ peerLinks, storeLinks }) => [...peerLinks, ...storeLinks], CUT_MS),
  },
  {
    name: 'sums come late',
    disturb: createHold(({ peerLinks }) => peerLinks, 1_700, 5),
  },
  {
    name: 'bytes to all targets held back twice',
    hasTargetLinks: true,
    disturb: createHold(({ targetLinks }) => targetLinks, 4_000, 2),
  },
  {
    name: 'bytes to half of the targets held back for 9 s',
    hasTargetLinks: true,
    disturb: createHold(({ targetLinks }) => targetLinks.filter((_one, index) => index % 2), 9_000),
  },
  {
    name: 'half of the routers lose all targets, in turn',
    hasRouterLinks: true,
    disturb: ({ routerLinks }) =>
      runRepeatedly(2, 6_500, async (time) => {
        const links = routerLinks.filter((_one, index) => index % 2 === time % 2).flat();
        links.forEach((link) => link.stall());
        await waitMs(6_000);
        links.forEach((link) => link.heal());
      }),
  },
  {
    name: 'targets read nothing twice',
    disturb: ({ targets }) =>
      runRepeatedly(2, 6_000, async () => {
        targets.forEach((target) => target.setSilent(true));
        await waitMs(3_000);
        targets.forEach((target) => target.setSilent(false));
      }),
  },
  {
    name: 'targets read late',
    disturb: async ({ targets }) => {
      await Promise.all(targets.map((target, index) => readLate(target, index / targets.length)));
    },
  },
  {
    name: 'targets reject',
    disturb: async ({ targets }) => {
      targets.forEach((target) => target.setRoom({ slots: 1, runMs: 150 }));
      await waitMs(CUT_MS);
    },
  },
];
