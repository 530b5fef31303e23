import { describe, it } from 'node:test';

import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

import * as TargetChooser from '../targetChooser';
import type { TargetChoiceRequest, TargetView } from '../targetChoiceTypes';

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function buildView(name: string, change: Partial<TargetView> = {}): TargetView {
  return {
    name,
    zone: 'z1',
    slots: 32,
    inFlight: 0,
    sentSinceReport: 0,
    state: 'healthy',
    warmShare: 1,
    ...change,
  };
}

function buildRequest(
  candidates: readonly TargetView[],
  change: Partial<TargetChoiceRequest> = {},
) {
  return {
    candidates,
    zone: 'z1',
    prefixKeys: [],
    nowMs: 0,
    excluded: new Set<string>(),
    purpose: 'first' as const,
    ...change,
  };
}

function getName(choice: ReturnType<TargetChooser.TargetChooser['chooseTarget']>): string {
  return choice.kind === 'target' ? choice.name : `none: ${choice.reason}`;
}

describe('targetChooser', () => {
  it('never chooses a dead, leaving or excluded target while another is available', () => {
    const chooser = TargetChooser.createTargetChooser({ nextRandom: createRandom(1) });
    const candidates = [
      buildView('dead', { state: 'dead' }),
      buildView('leaving', { state: 'leaving' }),
      buildView('lost'),
      buildView('busy', { inFlight: 40 }),
    ];
    for (let turn = 0; turn < 200; turn += 1) {
      const request = buildRequest(candidates, { excluded: new Set(['lost']), nowMs: turn });
      expect(getName(chooser.chooseTarget(request))).toEqual('busy');
    }
  });

  it('returns a reason and a retry time when no target is usable', () => {
    const chooser = TargetChooser.createTargetChooser({ nextRandom: createRandom(1) });
    const choice = chooser.chooseTarget(buildRequest([buildView('a', { state: 'dead' })]));
    expect(choice).toLooseEqual({
      kind: 'none',
      reason: 'none of 1 targets is usable: dead, leaving or already tried',
      retryAfterSeconds: 2,
    });
  });

  it('prefers the local zone until its targets queue, then uses another', () => {
    const chooser = TargetChooser.createTargetChooser({ nextRandom: createRandom(2) });
    const quiet = [buildView('near', { inFlight: 8 }), buildView('far', { zone: 'z2' })];
    expect(getName(chooser.chooseTarget(buildRequest(quiet)))).toEqual('near');
    const full = [buildView('near', { inFlight: 33 }), buildView('far', { zone: 'z2' })];
    expect(getName(chooser.chooseTarget(buildRequest(full)))).toEqual('far');
  });

  it('corrects a stale report by what was sent since', () => {
    // Two targets reported two seconds ago, one of them idle. This router has sent that one forty prompts
    // since; by the report alone it would send more and overload it.
    const chooser = TargetChooser.createTargetChooser({ nextRandom: createRandom(3) });
    const report = { reportedWaiting: 0, reportAgeMs: 2_000 };
    const candidates = [
      buildView('idle', { ...report, reportedRunning: 0, sentSinceReport: 40, inFlight: 40 }),
      buildView('half', { ...report, reportedRunning: 16 }),
    ];
    expect(getName(chooser.chooseTarget(buildRequest(candidates)))).toEqual('half');
  });

  it('chooses the target that cached the prefix until that target queues', () => {
    // All prompts of one shop share a long instruction. Choosing the same target again saves its prefill,
    // until that target has no free slot and waiting costs more than prefilling.
    const chooser = TargetChooser.createTargetChooser({ nextRandom: createRandom(4) });
    const names = Array.from({ length: 40 }, (_value, index) => `t${index}`);
    const idle = names.map((name) => buildView(name));
    const request = { prefixKeys: ['shop+question', 'shop'], promptTokens: 3_000 };
    const first = getName(chooser.chooseTarget(buildRequest(idle, request)));
    for (let turn = 0; turn < 20; turn += 1) {
      const again = { ...request, prefixKeys: [`shop+${turn}`, 'shop'] };
      expect(getName(chooser.chooseTarget(buildRequest(idle, again)))).toEqual(first);
    }
    const hot = names.map((name) => buildView(name, { inFlight: name === first ? 33 : 0 }));
    expect(getName(chooser.chooseTarget(buildRequest(hot, request)))).not.toEqual(first);
  });

  it('lets all routers choose the same first target for a prefix', () => {
    const idle = Array.from({ length: 40 }, (_value, index) => buildView(`t${index}`));
    const request = buildRequest(idle, { prefixKeys: ['shop'], promptTokens: 3_000 });
    const chosen = [1, 2, 3, 4, 5, 6].map((seed) =>
      getName(
        TargetChooser.createTargetChooser({ nextRandom: createRandom(seed) }).chooseTarget(request),
      ),
    );
    expect(new Set(chosen).size).toEqual(1);
  });
});
