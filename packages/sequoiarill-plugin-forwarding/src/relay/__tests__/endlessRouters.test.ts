import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies, Script } from '../../__tests__/fakeDependencies';
import type { CallEvent, TargetCall } from '../../targets/targetCall';
import * as RelayAttempts from '../relayAttempt';
import { RELAY_HEADERS } from '../relayHeaders';
import * as Relays from '../relays';

const ROUTER = { address: 'r1:2', zone: 'a' };
const LIMIT_MS = 4_000;
const HOP = { targetsLeft: 1, hasRun: false, isRepeat: false, mayLeave: () => false };

function createHead(headers: Readonly<Record<string, string>>): CallEvent {
  return Fakes.createHead(503, { [RELAY_HEADERS.version]: '1', ...headers });
}

function createRequest() {
  const route = Fakes.createRoute({ isStream: false, hasPrompt: false, timeoutMs: LIMIT_MS });
  return { ...Fakes.createRequest(route), expiresAtMs: LIMIT_MS };
}

function openHop(
  dependencies: FakeDependencies['dependencies'],
  readEvent: TargetCall['readEvent'],
) {
  const call: TargetCall = {
    wasSent: () => true,
    cancel: () => undefined,
    drain: () => undefined,
    recordExcess: () => undefined,
    readEvent,
  };
  const relays = Relays.createRelays({
    ...dependencies,
    nextRandom: () => 0,
    peers: { self: 'r0:1', listRouters: () => [] },
    openCall: () => call,
    paths: {
      isRelayDue: () => true,
      mayRelay: () => true,
      recordRelayed: () => undefined,
      recordUntaken: () => undefined,
    },
    checkExit: async () => 'alive',
    closeMissing: () => undefined,
  });
  return relays.openCall(createRequest(), ROUTER, HOP);
}

describe('another router', () => {
  const heads: readonly (readonly [string, CallEvent])[] = [
    ['a refusal', createHead({ [RELAY_HEADERS.refused]: 'refused', signature: '' })],
    ['an answer to another request', createHead({ id: 'r2' })],
  ];
  for (const [name, head] of heads) {
    it(`has its connection closed where nothing more is read of ${name}`, async () => {
      // Guards against connections that stay open, and paused, after requests whose answers have no end.
      const script: Script = [[0, head]];
      const fakes = Fakes.createFakeDependencies(() => script);
      const { dependencies } = fakes;
      await RelayAttempts.relayAnswer(dependencies, createRequest(), ROUTER, HOP);
      expect(fakes.sentCalls.map(({ isCancelled }) => isCancelled)).toEqual([true]);
    });
  }

  it('cannot hold a request beyond its time limit with data that never ends', async () => {
    // Guards against a reader that looks at its deadline only while nothing is buffered.
    const { clock, dependencies } = Fakes.createFakeDependencies(() => []);
    const hop = openHop(dependencies, async () => {
      clock.simulatePause(100);
      return { kind: 'data', chunk: Buffer.from('x') };
    });
    let event = await hop.readNext();
    for (let reads = 0; reads < 100 && event.kind === 'data'; reads += 1) {
      event = await hop.readNext();
    }
    expect(event.kind).toEqual('timeout');
    expect(clock.getNowMs()).toBeLessThan(LIMIT_MS + 200);
  });

  it('has an answer read that arrived in a pause of this process', async () => {
    // Guards against a whole answer that is dropped because it is read after the time limit.
    const { clock, dependencies } = Fakes.createFakeDependencies(() => []);
    const arrived: CallEvent[] = [
      createHead({}),
      { kind: 'data', chunk: Buffer.from('x') },
      { kind: 'data', chunk: Buffer.from('y') },
      { kind: 'end' },
    ];
    const kinds = arrived.map(({ kind }) => kind);
    const hop = openHop(dependencies, async () => arrived.shift() ?? { kind: 'timeout' });
    clock.simulatePause(LIMIT_MS + 500);
    const read: string[] = [];
    for (let reads = 0; reads < kinds.length; reads += 1) read.push((await hop.readNext()).kind);
    expect(read).toEqual(kinds);
  });
});
