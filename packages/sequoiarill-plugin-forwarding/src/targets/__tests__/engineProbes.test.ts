import { describe, it } from 'node:test';

import type { EngineReport, ForwardingConfiguration, ForwardingTarget } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as EngineCalls from '../engineCalls';
import * as EngineProbes from '../engineProbes';
import * as TargetRegistries from '../targetRegistry';
import * as OverheadMeters from '../overheadMeter';
import type { TargetConnection, TargetConnections } from '../targetConnections';
import * as Fakes from '../../__tests__/fakeDependencies';

const LIMIT_MS = 100;

/**
 * Engines that respond to report requests, and to health checks with the id of the incarnation that
 * runs there.
 */
function createConnections(idByAddress: ReadonlyMap<string, string>, requests: string[]) {
  function takeConnection(target: ForwardingTarget): TargetConnection {
    const dispatch: TargetConnection['dispatch'] = (options, handler) => {
      requests.push(`${target.address}${options.path}`);
      const id = idByAddress.get(target.address) ?? '';
      const controller = { paused: false, resume: () => undefined } as never;
      handler.onRequestStart?.(controller, undefined);
      handler.onResponseStart?.(controller, 200, { 'target-id': id }, 'OK');
      handler.onResponseData?.(controller, Buffer.from('report'));
      handler.onResponseEnd?.(controller, {});
      return true;
    };
    return {
      dispatch,
      wasReset: () => false,
      wasUsed: () => false,
      overhead: OverheadMeters.createOverheadMeter(),
      release: () => undefined,
      close: () => undefined,
    };
  }
  return { takeConnection } as unknown as TargetConnections;
}

interface ProbeScenario {
  readonly isDirectoryUpToDate: boolean;
  /** Id of the target that responds at the address of the target `known`. */
  readonly id: string;
  readonly report?: Partial<EngineReport>;
  readonly engineServices?: number;
}

async function simulateProbe({
  isDirectoryUpToDate,
  id,
  report = {},
  engineServices = 1,
}: ProbeScenario) {
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  const requests: string[] = [];
  const replacements: string[] = [];
  const target = Fakes.createTarget('known');
  const configuration = dependencies.directory.getConfiguration() as ForwardingConfiguration;
  const engines = [...configuration.services.values()].filter(({ engine }) => engine !== undefined);
  const services = Array.from({ length: engineServices }, (_one, index) =>
    engines.map((service) => [`${service.name}${index === 0 ? '' : index}`, service] as const),
  ).flat();
  const clock = Kernel.createFakeClock();
  const probes = EngineProbes.createEngineProbes({
    wire: { ...dependencies.wire, decodeReport: () => ({ ...Fakes.IDLE_REPORT, ...report }) },
    clock,
    registry: TargetRegistries.createTargetRegistry(clock.getNowMs, Fakes.UNUSED_PATHS),
    callEngine: EngineCalls.createEngineCaller(
      clock,
      createConnections(new Map([[target.address, id]]), requests),
      {
        recordHead: () => undefined,
        recordStart: () => () => undefined,
        createExcessRecord: () => () => undefined,
        isResting: () => false,
      },
      dependencies.wire.headers,
    ),
    directory: {
      getConfiguration: () => ({ ...configuration, services: new Map(services) }),
      isUpToDate: () => isDirectoryUpToDate,
      recordReplacement: (known, found) => replacements.push(`${known.id} ${found}`),
    },
    notices: { recordLeaving: () => undefined, isResting: () => false },
  });
  const answer = await probes.readReport(target, LIMIT_MS);
  return { answer, requests, replacements };
}

describe('engine probes', () => {
  it('detect a new incarnation of an engine while the store is unreachable', async () => {
    // The store is unreachable, and an engine crashes and restarts under another id, whose entry
    // cannot be read. With the old entry the router's requests are refused there each time, and the
    // engine is idle.
    const result = await simulateProbe({ isDirectoryUpToDate: false, id: 'next' });
    expect(result.answer).toEqual(undefined);
    expect(result.replacements).toEqual(['known next']);
  });

  it('verify the identity only while the directory is not up to date', async () => {
    const result = await simulateProbe({ isDirectoryUpToDate: true, id: 'known' });
    expect(result.answer?.running).toEqual(0);
    expect(result.requests.length).toEqual(1);
    const unverified = await simulateProbe({ isDirectoryUpToDate: false, id: 'known' });
    expect(unverified.answer?.running).toEqual(0);
    expect(unverified.requests.length).toEqual(2);
    expect(unverified.replacements).toEqual([]);
  });

  it('ignore the report of another incarnation under the same id', async () => {
    // Guards against streams continued by an engine that restarted with other software.
    const other = { startedAtUnixMs: 2 };
    const result = await simulateProbe({ isDirectoryUpToDate: true, id: 'known', report: other });
    expect(result.answer).toEqual(undefined);
    const same = { startedAtUnixMs: 1 };
    const known = await simulateProbe({ isDirectoryUpToDate: true, id: 'known', report: same });
    expect(known.answer?.running).toEqual(0);
  });

  it('ignore another incarnation if its service is uncertain or it is leaving', async () => {
    // Addresses are reassigned to other services. With two services of engines, the incarnation
    // that responds may belong to the other one, and a request would run on a service it is not
    // routed to.
    const other = await simulateProbe({
      isDirectoryUpToDate: false,
      id: 'next',
      engineServices: 2,
    });
    expect(other.replacements).toEqual([]);
    const leaving = await simulateProbe({
      isDirectoryUpToDate: false,
      id: 'next',
      report: { isLeaving: true },
    });
    expect(leaving.replacements).toEqual([]);
  });
});
