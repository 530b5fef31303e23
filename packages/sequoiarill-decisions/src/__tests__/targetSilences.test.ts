import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as TargetSilences from '../targetSilences';

const ENGINES = ['e1', 'e2', 'e3'].map((id, index) => ({
  id,
  zone: index < 2 ? 'a' : 'b',
  service: 'engines',
}));

/** Engines with one request each, heard every `gapMs` for two seconds. */
function createBusyEngines(gapMs: number) {
  const silences = TargetSilences.createTargetSilences<(typeof ENGINES)[number]>();
  const ends = ENGINES.map((engine) => silences.recordStart(engine, 0));
  for (let nowMs = gapMs; nowMs <= 2_000; nowMs += gapMs) {
    ENGINES.forEach((engine) => silences.recordHeard(engine, nowMs));
  }
  return { silences, ends, getSummary: (nowMs: number) => silences.getSummary('engines', nowMs) };
}

describe('silences of targets', () => {
  it('counts a target that falls silent beside others that go on', () => {
    // Guards against one silent engine that looks like a silence of the whole service.
    const { silences, getSummary } = createBusyEngines(50);
    for (let nowMs = 2_050; nowMs <= 3_050; nowMs += 50) {
      ENGINES.slice(1).forEach((engine) => silences.recordHeard(engine, nowMs));
      if (nowMs === 2_500) {
        expect(getSummary(nowMs)).toEqual({ silentTargets: 1, heardTargets: 3, heardZones: 2 });
      }
    }
    expect(getSummary(3_100)).toEqual({ silentTargets: 1, heardTargets: 2, heardZones: 2 });
  });

  it('counts all targets where they fall silent together, and none once they go on', () => {
    const { silences, getSummary } = createBusyEngines(50);
    expect(getSummary(2_150).silentTargets).toEqual(0);
    expect(getSummary(2_450).silentTargets).toEqual(3);
    expect(getSummary(3_300)).toEqual({ silentTargets: 3, heardTargets: 0, heardZones: 0 });
    ENGINES.forEach((engine) => silences.recordHeard(engine, 3_400));
    expect(getSummary(3_420)).toEqual({ silentTargets: 0, heardTargets: 3, heardZones: 2 });
  });

  it('takes a silence as long as usual for none', () => {
    // Guards against a service whose answers take seconds and whose targets all look silent.
    const { getSummary } = createBusyEngines(1_000);
    expect(getSummary(2_900).silentTargets).toEqual(0);
    expect(getSummary(6_000).silentTargets).toEqual(3);
  });

  it('counts no target that was asked nothing', () => {
    const { ends, getSummary } = createBusyEngines(50);
    ends.forEach((recordEnd) => recordEnd(2_010));
    expect(getSummary(2_600)).toEqual({ silentTargets: 0, heardTargets: 3, heardZones: 2 });
  });

  it('still counts a target whose request was given up for its silence a moment ago', () => {
    // Guards against a silence that no line shows, because the router gave up its requests.
    const { ends, getSummary } = createBusyEngines(50);
    ends.forEach((recordEnd) => {
      recordEnd(2_500);
      recordEnd(2_500);
    });
    expect(getSummary(3_400).silentTargets).toEqual(3);
    expect(getSummary(3_600).silentTargets).toEqual(0);
  });

  it('measures from the moment at which an idle target was asked', () => {
    // Guards against an idle target that looks silent as soon as it is asked something.
    const { silences, ends, getSummary } = createBusyEngines(50);
    ends.forEach((recordEnd) => recordEnd(2_010));
    ENGINES.forEach((engine) => silences.recordStart(engine, 9_000));
    expect(getSummary(9_100).silentTargets).toEqual(0);
    expect(getSummary(9_300).silentTargets).toEqual(3);
  });

  it('forgets targets that are no longer listed', () => {
    // Guards against memory that grows with each restart of a target.
    const { silences, getSummary } = createBusyEngines(50);
    silences.removeMissing(({ zone }) => zone === 'a');
    expect(getSummary(2_010)).toEqual({ silentTargets: 0, heardTargets: 2, heardZones: 1 });
  });
});
