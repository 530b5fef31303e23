import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as ServiceSummaries from '../serviceSummaries';
import * as Fakes from '../../__tests__/fakeDependencies';

const TARGET = Fakes.createTarget('s1');

describe('summary of a service', () => {
  it('says when this router was paused, and counts the pause as no silence', async () => {
    // Guards against targets that look silent because this router itself read nothing.
    const clock = Kernel.createFakeClock();
    const summaries = ServiceSummaries.createServiceSummaries(clock);
    summaries.recordStart(TARGET);
    summaries.recordHeard(TARGET);
    clock.simulatePause(3_000);
    await clock.runFor(100);
    expect(summaries.getSummary(TARGET.service)).toEqual({
      silentTargets: 0,
      heardTargets: 1,
      heardZones: 1,
      routerDelayMs: 3_000,
      routerDelayAgeMs: 100,
      configurationAgeMs: undefined,
    });
    await clock.runFor(200);
    expect(summaries.getSummary(TARGET.service).silentTargets).toEqual(1);
  });

  it('says for how long the configuration has been in force', async () => {
    // Guards against losses at a change of the configuration that look like any others.
    const clock = Kernel.createFakeClock();
    const summaries = ServiceSummaries.createServiceSummaries(clock);
    summaries.recordConfiguration();
    await clock.runFor(400);
    const { configurationAgeMs, routerDelayMs, routerDelayAgeMs } = summaries.getSummary('orders');
    expect([configurationAgeMs, routerDelayMs, routerDelayAgeMs]).toEqual([
      400,
      undefined,
      undefined,
    ]);
  });
});
