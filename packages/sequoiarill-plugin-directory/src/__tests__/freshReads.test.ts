import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { WatchEvent } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Confirmations from '../confirmation';
import * as FreshReads from '../freshReads';

const ANSWER_MS = 4;
const TIMEOUT_MS = 600;

interface FakeStore {
  isSilent: boolean;
  isRefusing: boolean;
  readonly readsAtMs: number[];
}

function startReads(routers = 3, clock = Kernel.createFakeClock()) {
  let checks = 0;
  const confirmation = Confirmations.createConfirmation({
    getNowMs: clock.getNowMs,
    recordAge: () => undefined,
  });
  const store: FakeStore = { isSilent: false, isRefusing: false, readsAtMs: [] };
  const applied: string[] = [];
  const reads = FreshReads.createFreshReads({
    clock,
    confirmation: {
      ...confirmation,
      isConfirmedSince(atMs) {
        checks += 1;
        return confirmation.isConfirmedSince(atMs);
      },
    },
    prefix: '',
    countRouters: () => routers,
    recordRead: () => undefined,
    state: {
      applyRecords: (records) => applied.push(...records.map(({ key }) => key)),
    },
    store: {
      renewConnections: () => undefined,
      async *watchPrefix(_prefix, fromRevision): AsyncGenerator<WatchEvent, void, void> {
        store.readsAtMs.push(clock.getNowMs());
        await clock.waitMs(store.isSilent ? 60_000 : ANSWER_MS);
        if (store.isRefusing) return;
        const entry = { key: 'k', value: 'v', revision: fromRevision, createRevision: 1 };
        const changes = [{ key: 'k', revision: fromRevision, entry }];
        yield { kind: 'changes', revision: fromRevision, changes };
      },
    },
  });
  /** Resolves with the outcome and the time that it took. */
  async function verify(atMs: number): Promise<readonly [boolean, number]> {
    const startedAtMs = clock.getNowMs();
    const isVerified = await reads.verifySince(atMs, TIMEOUT_MS);
    return [isVerified, clock.getNowMs() - startedAtMs];
  }
  return { clock, confirmation, store, applied, verify, countChecks: () => checks };
}

describe('a question that needs news of the store as young as itself', () => {
  it('is verified by one read for all that are asked together', async () => {
    // Guards against a read of the store for each stream that its caller resumes.
    const { clock, confirmation, store, applied, verify } = startReads();
    confirmation.recordConfirmed(0);
    await clock.runFor(500);
    const asked = Array.from({ length: 20 }, () => verify(clock.getNowMs()));
    await clock.runFor(TIMEOUT_MS);
    const outcomes = await Promise.all(asked);
    expect(outcomes.map(([isVerified]) => isVerified)).toEqual(asked.map(() => true));
    expect(store.readsAtMs).toEqual([500]);
    expect(applied).toEqual(['k']);
  });

  it('is not verified by a read that was sent before it', async () => {
    // Guards against an answer that was under way when the question came.
    const { clock, confirmation, store, verify } = startReads();
    confirmation.recordConfirmed(0);
    await clock.runFor(500);
    const first = verify(clock.getNowMs());
    await clock.runFor(ANSWER_MS / 2);
    const second = verify(clock.getNowMs());
    await clock.runFor(TIMEOUT_MS);
    expect((await Promise.all([first, second])).map(([isVerified]) => isVerified)).toEqual([
      true,
      true,
    ]);
    expect(store.readsAtMs.length).toEqual(2);
  });

  it('needs no read where a younger confirmation has come by itself', async () => {
    const { clock, confirmation, store, verify } = startReads();
    await clock.runFor(500);
    confirmation.recordConfirmed(450);
    const asked = verify(440);
    await clock.runFor(1);
    expect(await asked).toEqual([true, 0]);
    expect(store.readsAtMs).toEqual([]);
  });

  it('is given up in time where the store is silent or refuses', async () => {
    // Guards against callers that wait for a store that does not answer, and against reads in a loop.
    for (const fault of ['isSilent', 'isRefusing'] as const) {
      const { clock, confirmation, store, verify } = startReads();
      store[fault] = true;
      confirmation.recordConfirmed(0);
      await clock.runFor(500);
      const asked = verify(clock.getNowMs());
      await clock.runFor(2 * TIMEOUT_MS);
      expect(await asked).toEqual([false, TIMEOUT_MS]);
      expect(store.readsAtMs.length).toBeLessThanOrEqual(TIMEOUT_MS / 100 + 1);
    }
  });

  it('is not verified before everything has been read once', async () => {
    const { clock, store, verify } = startReads();
    const asked = verify(0);
    await clock.runFor(TIMEOUT_MS);
    expect(await asked).toEqual([false, 0]);
    expect(store.readsAtMs).toEqual([]);
  });

  it('is asked of the store less often the more routers there are', async () => {
    // Guards against reads that grow with routers and take up what the store answers.
    const { clock, confirmation, store, verify } = startReads(500);
    confirmation.recordConfirmed(0);
    await clock.runFor(1_000);
    for (let step = 0; step < 200; step += 1) {
      verify(clock.getNowMs()).catch(() => undefined);
      await clock.runFor(10);
    }
    expect(store.readsAtMs.length).toBeLessThanOrEqual(5);
  });

  it('does not spin where its timer fires before its deadline', async () => {
    // Guards against a loop without a wait for the rest of the time, in which no answer can be read.
    const clock = Kernel.createFakeClock();
    const earlyClock = { ...clock, waitMs: (ms: number) => clock.waitMs(ms - 0.9) };
    const { confirmation, store, verify, countChecks } = startReads(3, earlyClock);
    confirmation.recordConfirmed(0);
    store.isSilent = true;
    await clock.runFor(500);
    const asked = verify(clock.getNowMs());
    await clock.runFor(TIMEOUT_MS);
    expect((await asked)[0]).toEqual(false);
    expect(countChecks()).toBeLessThanOrEqual(6);
  });
});
