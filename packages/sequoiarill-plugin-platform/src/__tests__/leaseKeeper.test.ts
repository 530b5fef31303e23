import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as LeaseKeepers from '../leaseKeeper';
import * as Platforms from './fakePlatform';
import * as Fixtures from './fixtures';

const KEY = 'duties/z1/reader';

function createKeepers(names: readonly string[]) {
  const clock = Kernel.createFakeClock();
  const platform = Platforms.createFakePlatform(clock);
  const keepers = names.map((holder, index) =>
    LeaseKeepers.createLeaseKeeper({
      store: platform.createStore(),
      clock,
      nextRandom: Fixtures.createRandom(index + 1),
      key: KEY,
      holder,
      ttlSeconds: 4,
    }),
  );
  return {
    clock,
    platform,
    keepers: keepers as [LeaseKeepers.LeaseKeeper, LeaseKeepers.LeaseKeeper],
  };
}

describe('lease keeper', () => {
  it('gives the duty to one and tells the other who has it', async () => {
    const { keepers, platform } = createKeepers(['a', 'b']);
    const [first, second] = keepers;
    const outcomes = await Promise.all([first.reserveDuty(), second.reserveDuty()]);
    expect(outcomes.map(({ kind }) => kind).sort()).toEqual(['held', 'taken']);
    expect([first.isHolder(), second.isHolder()].filter(Boolean).length).toEqual(1);
    expect(first.getFence()).toEqual(platform.get(KEY)?.createRevision ?? -1);
  });

  it('stays the holder for as long as it refreshes, and gives the duty back', async () => {
    const { clock, platform, keepers } = createKeepers(['a', 'b']);
    const [first, second] = keepers;
    await first.reserveDuty();
    const stop = new AbortController();
    const refreshes = first.runRefreshes(stop.signal);
    await clock.runFor(60_000);
    expect(first.isHolder()).toEqual(true);
    stop.abort();
    await refreshes;
    await first.releaseDuty();
    expect(platform.get(KEY)).toEqual(undefined);
    expect((await second.reserveDuty()).kind).toEqual('held');
  });

  it('steps back by itself when it was paused past its lease', async () => {
    // Story: the holder's process is stopped for ten seconds. The platform drops the lease and
    // another router takes the duty. The first one wakes in the middle of its work and would act on
    // a duty it no longer has, side by side with the new holder.
    const { clock, keepers } = createKeepers(['a', 'b']);
    const [first, second] = keepers;
    await first.reserveDuty();
    const firstFence = first.getFence();
    const refreshes = first.runRefreshes(new AbortController().signal);
    clock.simulatePause(10_000);
    expect(first.isHolder()).toEqual(false);
    expect(first.getFence()).toEqual(0);
    expect((await second.reserveDuty()).kind).toEqual('held');
    expect(second.getFence() > firstFence).toEqual(true);
    await clock.runFor(10);
    await refreshes;
    expect(first.isHolder()).toEqual(false);
    expect(second.isHolder()).toEqual(true);
  });

  it('stops being the holder before the platform gives the duty to another', async () => {
    // Story: the holder loses its link to the platform. Until its lease lapses there nobody else can
    // act; it must have stopped by then, although nobody can tell it so.
    const { clock, platform, keepers } = createKeepers(['a', 'b']);
    const [first] = keepers;
    await first.reserveDuty();
    const refreshes = first.runRefreshes(new AbortController().signal);
    platform.faults.isAway = true;
    await clock.runFor(3_100);
    expect(first.isHolder()).toEqual(false);
    expect(platform.get(KEY) === undefined).toEqual(false);
    await clock.runFor(5_000);
    await refreshes;
  });

  it('does not take the duty up again by a late answer', async () => {
    // Story: the platform answers a refresh so late that the holder has stepped back meanwhile. Others
    // have seen it stop; acting again on the late answer would make the duty jump to and fro.
    const { clock, platform, keepers } = createKeepers(['a', 'b']);
    const [first] = keepers;
    await first.reserveDuty();
    platform.faults.latencyMs = 2_500;
    const refreshes = first.runRefreshes(new AbortController().signal);
    await clock.runFor(3_100);
    expect(first.isHolder()).toEqual(false);
    await clock.runFor(900);
    expect(first.isHolder()).toEqual(false);
    await clock.runFor(5_000);
    await refreshes;
  });

  it('rides out a failed refresh', async () => {
    const { clock, platform, keepers } = createKeepers(['a', 'b']);
    const [first] = keepers;
    await first.reserveDuty();
    const stop = new AbortController();
    const refreshes = first.runRefreshes(stop.signal);
    platform.faults.isAway = true;
    await clock.runFor(1_500);
    platform.faults.isAway = false;
    await clock.runFor(10_000);
    expect(first.isHolder()).toEqual(true);
    stop.abort();
    await refreshes;
  });

  it('finds out that it became the holder when the answer was lost', async () => {
    // Story: the write that takes the duty has effect, and the connection breaks before the answer.
    // Taken for a failure, the zone would have a holder that does not know of it.
    const { platform, keepers } = createKeepers(['a', 'b']);
    const [first] = keepers;
    const store = platform.createStore();
    const keeper = LeaseKeepers.createLeaseKeeper({
      store: {
        ...store,
        async writeTransaction(transaction) {
          platform.faults.lostAnswers = 1;
          return store.writeTransaction(transaction);
        },
      },
      clock: Kernel.createFakeClock(),
      nextRandom: Fixtures.createRandom(9),
      key: KEY,
      holder: 'c',
      ttlSeconds: 4,
    });
    const outcome = await keeper.reserveDuty();
    expect(outcome).toEqual({ kind: 'held', fence: platform.get(KEY)?.createRevision ?? -1 });
    expect((await first.reserveDuty()).kind).toEqual('taken');
  });

  it('hinders nobody when the answer to the grant was lost', async () => {
    const { platform, keepers } = createKeepers(['a', 'b']);
    const [first, second] = keepers;
    platform.faults.lostAnswers = 1;
    expect((await first.reserveDuty()).kind).toEqual('unavailable');
    expect((await second.reserveDuty()).kind).toEqual('held');
  });

  it('costs a read and no write while another has the duty', async () => {
    const { platform, keepers } = createKeepers(['a', 'b']);
    const [first, second] = keepers;
    await first.reserveDuty();
    const before = platform.getCalls();
    await second.reserveDuty();
    expect(platform.getCalls()).toEqual({ ...before, read: before.read + 1 });
  });
});
