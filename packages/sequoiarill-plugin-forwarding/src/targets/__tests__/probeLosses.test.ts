import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as EngineCalls from '../engineCalls';
import type { EngineCaller } from '../engineCalls';
import * as EngineProbes from '../engineProbes';
import * as OverheadMeters from '../overheadMeter';
import type { TargetConnections } from '../targetConnections';
import * as TargetRegistries from '../targetRegistry';
import * as Fakes from '../../__tests__/fakeDependencies';

const ENGINES = Array.from({ length: 12 }, (_one, index) => Fakes.createTarget(`e${index}`));
const LIMIT_MS = 35;
const SILENCE_MS = 1_300;
/** Starts of common silences, and of the probes in each of them. */
const SILENCES_MS = [3_000, 9_000, 15_000, 21_000];
const PROBE_OFFSETS_MS = [300, 700, 1_100];

function fail(error: unknown): never {
  throw error;
}

function createProbes(createCaller: (clock: Kernel.FakeClock) => EngineCaller) {
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  const clock = Kernel.createFakeClock();
  const registry = TargetRegistries.createTargetRegistry(clock.getNowMs, Fakes.UNUSED_PATHS);
  const probes = EngineProbes.createEngineProbes({
    wire: { ...dependencies.wire, decodeReport: () => Fakes.IDLE_REPORT },
    clock,
    registry,
    callEngine: createCaller(clock),
    directory: {
      getConfiguration: dependencies.directory.getConfiguration,
      isUpToDate: () => true,
      recordReplacement: () => undefined,
    },
    notices: { recordLeaving: () => undefined, isResting: () => false },
  });
  return { clock, registry, probes };
}

function createAnswer(id: string): EngineCalls.EngineResponse {
  const headers = { 'target-id': id };
  return { head: { status: 200, statusMessage: 'OK', headers }, text: 'report' };
}

/** Engines that answer no call that begins during a silence, and leave its connection open. */
function createPausingCaller(clock: Kernel.FakeClock): EngineCaller {
  return async ({ id }, { limitMs }) => {
    const isSilent = SILENCES_MS.some(
      (atMs) => clock.getNowMs() >= atMs && clock.getNowMs() < atMs + SILENCE_MS,
    );
    if (!isSilent) return createAnswer(id);
    await clock.waitMs(limitMs);
    return undefined;
  };
}

function createRefusingCaller(clock: Kernel.FakeClock): EngineCaller {
  const connections = {
    takeConnection: () => ({
      dispatch: (_options: unknown, handler: { onResponseError?: (...args: never[]) => void }) => {
        const error = Object.assign(new Error('refused'), { code: 'ECONNREFUSED' });
        handler.onResponseError?.(...([undefined, error] as never[]));
        return true;
      },
      wasReset: () => false,
      wasUsed: () => false,
      overhead: OverheadMeters.createOverheadMeter(),
      release: () => undefined,
      close: () => undefined,
    }),
  } as unknown as TargetConnections;
  const notices = {
    recordHead: () => undefined,
    recordStart: () => () => undefined,
    createExcessRecord: () => () => undefined,
    isResting: () => false,
  };
  return EngineCalls.createEngineCaller(clock, connections, notices, { requestId: 'id' });
}

describe('unanswered probes', () => {
  it('leave engines their full load within a second after a common silence', async () => {
    // Guards against engines that are ejected for seconds because they were paused for 1.3 s: the other half gets
    // the load of all, at the moment when all requests that waited go on.
    const { clock, registry, probes } = createProbes(createPausingCaller);
    const probeAll = () => Promise.all(ENGINES.map((one) => probes.readReport(one, LIMIT_MS)));
    const shares: number[] = [];
    for (const silentFromMs of SILENCES_MS) {
      for (const offsetMs of PROBE_OFFSETS_MS) {
        await clock.runFor(silentFromMs + offsetMs - clock.getNowMs());
        probeAll().catch(fail);
      }
      await clock.runFor(silentFromMs + SILENCE_MS + 500 - clock.getNowMs());
      probeAll().catch(fail);
      await clock.runFor(500);
      const usable = ENGINES.map(registry.buildView).filter(({ state }) => state !== 'dead');
      shares.push(usable.reduce((sum, { warmShare = 1 }) => sum + warmShare, 0) / ENGINES.length);
    }
    expect(shares).toEqual([1, 1, 1, 1]);
  });

  it('make an engine suspect while the silence lasts', async () => {
    // Guards against new requests for an engine that is silent while others answer.
    const { clock, registry, probes } = createProbes(createPausingCaller);
    const [engine = Fakes.createTarget('e0')] = ENGINES;
    await clock.runFor(3_300);
    probes.readReport(engine, LIMIT_MS).catch(fail);
    await clock.runFor(300);
    expect(registry.isSuspect(engine)).toEqual(true);
    expect(registry.buildView(engine).state).toEqual('dead');
  });

  it('eject an engine whose connections are refused', async () => {
    // Guards against requests for an engine that has terminated and is still in the directory.
    const { clock, registry, probes } = createProbes(createRefusingCaller);
    const [engine = Fakes.createTarget('e0'), ...others] = ENGINES;
    others.forEach(registry.recordSuccess);
    for (let probe = 0; probe < 3; probe += 1) {
      await probes.readReport(engine, LIMIT_MS);
      await clock.runFor(100);
    }
    registry.recordAlive(engine);
    expect(registry.isSuspect(engine)).toEqual(false);
    expect(registry.buildView(engine).state).toEqual('dead');
  });
});
