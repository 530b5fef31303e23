import { describe, it } from 'node:test';

import type { EngineReport, ForwardingConfiguration, ForwardingTarget } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as EngineCalls from '../engineCalls';
import * as EngineProbes from '../engineProbes';
import * as TargetRegistries from '../targetRegistry';
import type { TargetConnection, TargetConnections } from '../targetConnections';
import * as Fakes from '../../__tests__/fakeDependencies';

const LIMIT_MS = 100;

/** Engines that answer reports, and health checks with the identity of the life that runs there. */
function createConnections(idByAddress: ReadonlyMap<string, string>, asked: string[]) {
  function takeConnection(target: ForwardingTarget): TargetConnection {
    const dispatch: TargetConnection['dispatch'] = (options, handler) => {
      asked.push(`${target.address}${options.path}`);
      const id = idByAddress.get(target.address) ?? '';
      const controller = { paused: false, resume: () => undefined } as never;
      handler.onRequestStart?.(controller, undefined);
      handler.onResponseStart?.(controller, 200, { 'target-id': id }, 'OK');
      handler.onResponseData?.(controller, Buffer.from('report'));
      handler.onResponseEnd?.(controller, {});
      return true;
    };
    return { dispatch, wasReset: () => false, release: () => undefined, close: () => undefined };
  }
  return { takeConnection } as unknown as TargetConnections;
}

interface World {
  readonly hasNews: boolean;
  /** Who answers at the address of the target `known`. */
  readonly id: string;
  readonly report?: Partial<EngineReport>;
  readonly engineServices?: number;
}

async function playProbe({ hasNews, id, report = {}, engineServices = 1 }: World) {
  const { dependencies } = Fakes.createFakeDependencies(() => []);
  const asked: string[] = [];
  const replaced: string[] = [];
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
    registry: TargetRegistries.createTargetRegistry(clock.getNowMs),
    callEngine: EngineCalls.createEngineCaller(
      clock,
      createConnections(new Map([[target.address, id]]), asked),
    ),
    directory: {
      getConfiguration: () => ({ ...configuration, services: new Map(services) }),
      isUpToDate: () => hasNews,
      recordReplacement: (known, found) => replaced.push(`${known.id} ${found}`),
    },
  });
  const answer = await probes.readReport(target, LIMIT_MS);
  return { answer, asked, replaced };
}

describe('probes of engines', () => {
  it('learns the next life of an engine while the store is away', async () => {
    // The store is away, and an engine crashes and starts again under another id. Its entry cannot be
    // read. A router that goes by the old one is refused there each time, and the engine idles.
    const played = await playProbe({ hasNews: false, id: 'next' });
    expect(played.answer).toEqual(undefined);
    expect(played.replaced).toEqual(['known next']);
  });

  it('asks who answers only while nobody else can tell', async () => {
    const played = await playProbe({ hasNews: true, id: 'known' });
    expect(played.answer?.running).toEqual(0);
    expect(played.asked.length).toEqual(1);
    const doubtful = await playProbe({ hasNews: false, id: 'known' });
    expect(doubtful.answer?.running).toEqual(0);
    expect(doubtful.asked.length).toEqual(2);
    expect(doubtful.replaced).toEqual([]);
  });

  it('does not guess whose engine it met, nor takes one that leaves', async () => {
    // Addresses are given to other services. With two services of engines the life that answers may
    // be the other one's, and a request would run where no route leads.
    const other = await playProbe({ hasNews: false, id: 'next', engineServices: 2 });
    expect(other.replaced).toEqual([]);
    const leaving = await playProbe({ hasNews: false, id: 'next', report: { isLeaving: true } });
    expect(leaving.replaced).toEqual([]);
  });
});
