import { describe, it } from 'node:test';

import { expect } from 'earl';

import { RELAY_HEADERS } from '../../relay/relayHeaders';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import * as Simulation from './simulateStream';

const EVENTS = 40;
const ENGINES = ['a1', 'b1', 'c1'].map((id) =>
  Fakes.createTarget(id, { zone: id.slice(0, 1), models: 'm 1' }),
);
const ROUTER = { address: 'r1:1', relayAddress: 'r1:2', zone: 'a' };
const ROUTER_HEAD = Fakes.createHead(200, {
  [RELAY_HEADERS.version]: '1',
  [RELAY_HEADERS.models]: 'm%201',
  [RELAY_HEADERS.targetVersion]: 'v1',
});

/** The run of another router: it goes on after the last event that the caller has. */
function createRelayedRun(headers: Readonly<Record<string, string>>, last = EVENTS): Script {
  const from = Number(headers.last ?? 0) + 1;
  return [
    [10, ROUTER_HEAD],
    ...Fakes.createEvents(from, last, 10, 20),
    [20 + 10 * (last + 1 - from), Simulation.END],
  ];
}

/** All engines fall silent after the fifth event, and none answers this router any more. */
function createPartitioned(relayedRun: typeof createRelayedRun): FakeDependencies {
  const fake: FakeDependencies = Fakes.createFakeDependencies((name, headers) => {
    if (name === ROUTER.relayAddress) return relayedRun(headers);
    ENGINES.forEach(({ id }) => {
      fake.reports.delete(id);
      fake.unreachable.add(id);
    });
    return [[50, Fakes.createHead(200)], ...Fakes.createEvents(1, 5, 30, 60)];
  });
  fake.setTargets(ENGINES);
  ENGINES.forEach(({ id }) => fake.reports.set(id, Fakes.IDLE_REPORT));
  fake.otherRouters.push(ROUTER);
  return fake;
}

describe('a stream of a router that reaches no engine any more', () => {
  it('goes on through another router after the last event, at the same build', async () => {
    const fake = createPartitioned(createRelayedRun);
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(EVENTS));
    const hops = fake.sentCalls.filter(({ target }) => target === ROUTER.relayAddress);
    expect(hops.map(({ headers }) => headers.last)).toEqual(['5']);
    expect(hops[0]?.headers[RELAY_HEADERS.models]).toEqual('m%201');
    expect(hops[0]?.headers[RELAY_HEADERS.targetVersion]).toEqual('v1');
  });

  it('takes no events of another software version from the other router', async () => {
    // Guards against a router that does not know that the version has to stay.
    const fake = createPartitioned((headers) => {
      const [[atMs], ...events] = createRelayedRun(headers) as [Script[number], ...Script];
      const version = { [RELAY_HEADERS.targetVersion]: 'v2', [RELAY_HEADERS.models]: 'm%201' };
      const head = Fakes.createHead(200, { [RELAY_HEADERS.version]: '1', ...version });
      return [[atMs, head], ...events];
    });
    const result = await Simulation.simulateStream(fake);
    expect(result.text).toEqual(Simulation.formatAll(5));
    expect(result.outcome?.kind).toEqual('broken');
  });

  it('has no event twice or missing when the other router breaks off in the middle', async () => {
    // Guards against tokens that are lost or repeated where a hop ends.
    let hops = 0;
    const fake = createPartitioned((headers) => {
      hops += 1;
      if (hops > 1) return createRelayedRun(headers);
      const begun = createRelayedRun(headers, 12).slice(0, -1);
      return [...begun, [120, { kind: 'broken', reason: 'reset' }]];
    });
    fake.otherRouters.push({ address: 'r2:1', relayAddress: 'r2:2', zone: 'a' });
    const result = await Simulation.simulateStream(fake);
    expect(result.text.startsWith(Simulation.formatAll(12))).toEqual(true);
    expect(Simulation.formatAll(EVENTS).startsWith(result.text)).toEqual(true);
  });

  it('is not complete when the other router leaves out an event', async () => {
    const fake = createPartitioned((headers) => {
      const run = createRelayedRun(headers);
      return [...run.slice(0, 3), ...run.slice(4)];
    });
    const result = await Simulation.simulateStream(fake);
    expect(result.text.length).toBeLessThan(Simulation.formatAll(EVENTS).length);
    expect(Simulation.formatAll(EVENTS).startsWith(result.text)).toEqual(true);
  });
});
