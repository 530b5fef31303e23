import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Simulation from './simulateStream';
import * as Fakes from '../../__tests__/fakeDependencies';
import type { FakeDependencies } from '../../__tests__/fakeDependencies';

describe('a stream whose engine sends without end', () => {
  it('moves to another engine at once, for an error, one event and events without ids', async () => {
    // Guards against errors, partial events and events without ids that are read until the time limit.
    const chunks = [
      [404, 'x'.repeat(65_536)],
      [500, 'x'.repeat(65_536)],
      [200, 'x'.repeat(65_536)],
      [200, ': at work\n\n'.repeat(6_000)],
    ] as const;
    for (const [status, text] of chunks) {
      const data = { kind: 'data', chunk: Buffer.from(text) } as const;
      const endless = Array.from({ length: 400 }, (_one, index) => [60 + index, data] as const);
      const fake: FakeDependencies = Fakes.createFakeDependencies((target) =>
        target === 'a1' ? [[50, Fakes.createHead(status)], ...endless] : Simulation.createRun(1, 6),
      );
      fake.setTargets([Fakes.createTarget('a1'), Fakes.createTarget('b1', { zone: 'b' })]);
      fake.reports.set('a1', Fakes.IDLE_REPORT);
      fake.reports.set('b1', { ...Fakes.IDLE_REPORT, running: 3 });
      const { text: received } = await Simulation.simulateStream(fake);
      expect(received.replaceAll(': at work\n\n', '')).toEqual(Simulation.formatAll(6));
      expect(fake.sentCalls.map(({ target }) => target)).toEqual(['a1', 'b1']);
      expect(fake.sentCalls[0]?.isCancelled).toEqual(true);
      expect(fake.sentCalls[1]?.atMs ?? Infinity).toBeLessThan(120);
    }
  });
});
