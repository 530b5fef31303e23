import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import type { KeyValueStore, WatchEvent } from '@sequoiarill/types';
import { expect } from 'earl';

import * as WatchAttempts from '../watchAttempts';

const PART_PAUSE_MS = 100;
const WAIT_MS = 1_000;
const EMPTY: WatchEvent = { kind: 'changes', revision: 5, changes: [] };

type Watch = KeyValueStore['watchPrefix'];

function createFixture(clock: Kernel.FakeClock, watchPrefix: Watch) {
  let calls = 0;
  let renewals = 0;
  const attempts = WatchAttempts.createWatchAttempts({
    store: {
      watchPrefix: (...request) => {
        calls += 1;
        return watchPrefix(...request);
      },
      renewConnections: () => {
        renewals += 1;
      },
    },
    clock,
    prefix: '',
    reportOverdue: () => undefined,
  });
  const { signal } = new AbortController();
  const request = { fromRevision: 1, waitMs: WAIT_MS, maxAttempts: 4, signal };
  return {
    watchOnce: () => attempts.watchOnce(request),
    countCalls: () => calls,
    countRenewals: () => renewals,
  };
}

describe('repeated watches', () => {
  it('are not sent while parts of an answer arrive', async () => {
    // Guards against a large answer that is requested several times over the slow link that delays it.
    const clock = Kernel.createFakeClock();
    const fixture = createFixture(clock, async function* watch(_prefix, _from, _signal, options) {
      for (let part = 0; part < 30; part += 1) {
        await clock.waitMs(PART_PAUSE_MS);
        options?.handleProgress?.();
      }
      yield EMPTY;
    });
    const answer = fixture.watchOnce();
    await clock.runFor(3_100);
    expect((await answer)?.attempt).toEqual(1);
    expect(fixture.countCalls()).toEqual(1);
  });

  it('are sent over new connections when an answer goes on for too long', async () => {
    // Guards against an answer without end that holds back all changes of the configuration.
    const clock = Kernel.createFakeClock();
    let watches = 0;
    const fixture = createFixture(clock, async function* watch(_prefix, _from, signal, options) {
      watches += 1;
      while (watches === 1 && !signal.aborted) {
        await clock.waitMs(PART_PAUSE_MS);
        options?.handleProgress?.();
      }
      yield EMPTY;
    });
    const answer = fixture.watchOnce();
    await clock.runFor(WAIT_MS + WatchAttempts.MAX_ARRIVAL_MS + WatchAttempts.PATIENCE_MS);
    expect((await Promise.race([answer, undefined]))?.attempt).toEqual(2);
  });

  it('are sent over new connections when an answer stops midway', async () => {
    // Guards against a connection that turns silent within an answer.
    const clock = Kernel.createFakeClock();
    let watches = 0;
    const fixture = createFixture(clock, async function* watch(_prefix, _from, signal, options) {
      watches += 1;
      await clock.waitMs(PART_PAUSE_MS);
      options?.handleProgress?.();
      if (watches === 1) await clock.waitMs(60_000, signal);
      else yield EMPTY;
    });
    const answer = fixture.watchOnce();
    await clock.runFor(1_400);
    expect((await answer)?.attempt).toEqual(2);
    expect(fixture.countRenewals()).toEqual(1);
  });

  it('confirm the state as of the end of the wait, not of the arrival of the answer', async () => {
    // Guards against an answer that a slow link delivers late and that is taken for a new confirmation.
    const clock = Kernel.createFakeClock();
    const fixture = createFixture(clock, async function* watch(_prefix, _from, _signal, options) {
      await clock.waitMs((options?.waitMs ?? 0) + 200);
      yield EMPTY;
    });
    const answer = fixture.watchOnce();
    await clock.runFor(1_300);
    expect((await answer)?.confirmedAtMs).toEqual(WAIT_MS);
  });
});
