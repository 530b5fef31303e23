import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as SilenceLogs from '../silenceLog';
import * as Fakes from '../../__tests__/fakeDependencies';

const TARGET = Fakes.createTarget('s1');

function createLog() {
  const { dependencies, clock } = Fakes.createFakeDependencies(() => []);
  const lines: (readonly [string, unknown, unknown, unknown])[] = [];
  const metrics: unknown[] = [];
  const silences = SilenceLogs.createSilenceLog(
    {
      clock,
      paths: dependencies.paths,
      log: {
        logEvent: ({ name }, { silentMs, contact, kept } = {}) =>
          lines.push([name, silentMs, contact, kept]),
      },
      metrics: {
        addCount: (name, value, tags) => metrics.push([name, value, tags]),
        recordTiming: (name, value, tags) => metrics.push([name, value, tags]),
      },
    },
    { id: 'r1', service: TARGET.service },
    TARGET,
  );
  return { clock, lines, metrics, silences };
}

describe('silences of the target of a request', () => {
  it('are logged once, and again with another contact or reason', async () => {
    // Guards against a line for each look at a silent target, and against a change that no line shows.
    const { clock, lines, silences } = createLog();
    await clock.runFor(500);
    silences.recordSilent({ sinceMs: 0, contact: 'accepts', kept: 'noOtherAnswers' });
    await clock.runFor(100);
    silences.recordSilent({ sinceMs: 0, contact: 'accepts', kept: 'noOtherAnswers' });
    await clock.runFor(100);
    silences.recordSilent({ sinceMs: 0, contact: 'refuses' });
    expect(lines).toEqual([
      ['target.silent', 500, 'accepts', 'noOtherAnswers'],
      ['target.silent', 700, 'refuses', undefined],
    ]);
  });

  it('end with a line and their whole duration where the target goes on', async () => {
    const { clock, lines, metrics, silences } = createLog();
    await clock.runFor(500);
    silences.recordSilent({ sinceMs: 100, contact: 'accepts', kept: 'noAttemptLeft' });
    await clock.runFor(900);
    silences.recordEnd('spoke');
    silences.recordEnd('closed');
    expect(lines).toEqual([
      ['target.silent', 400, 'accepts', 'noAttemptLeft'],
      ['target.spoke', 1_300, undefined, undefined],
    ]);
    const tags = { contact: 'accepts', end: 'spoke' };
    expect(metrics).toEqual([
      ['forwarding.silences', 1, tags],
      ['forwarding.silence', 1_300, tags],
    ]);
  });

  it('are counted by the end that they had, and are logged anew after it', async () => {
    // Guards against a second silence of a run that is taken for the first one.
    const { clock, lines, metrics, silences } = createLog();
    const silence = { contact: 'accepts', kept: 'noRepeatLeft' } as const;
    silences.recordSilent({ ...silence, sinceMs: 0 });
    silences.recordEnd('spoke');
    await clock.runFor(2_000);
    silences.recordSilent({ ...silence, sinceMs: 1_500 });
    silences.recordEnd('expired');
    expect(lines.map(([name]) => name)).toEqual(['target.silent', 'target.spoke', 'target.silent']);
    expect(metrics.slice(2)).toEqual([
      ['forwarding.silences', 1, { contact: 'accepts', end: 'expired' }],
      ['forwarding.silence', 500, { contact: 'accepts', end: 'expired' }],
    ]);
  });

  it('are neither logged nor counted where none was reported', () => {
    const { lines, metrics, silences } = createLog();
    silences.recordEnd('spoke');
    expect([...lines, ...metrics]).toEqual([]);
  });
});
