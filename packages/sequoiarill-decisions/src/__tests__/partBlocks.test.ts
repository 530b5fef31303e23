import { describe, it } from 'node:test';

import type { PartBlock } from '@sequoiarill/types';
import { expect } from 'earl';

import * as Decisions from '..';

const TARGETS = ['t1', 't2', 't3', 't4'];

function createBlock(part: string, change: Partial<PartBlock> = {}): PartBlock {
  return {
    part,
    others: [],
    targets: TARGETS,
    firstAgeMs: 100,
    lastAgeMs: 10,
    failedTrials: 0,
    ...change,
  };
}

function isRefused(
  blocks: Decisions.PartBlocks,
  parts: readonly string[],
  organisation = 'shop',
): boolean {
  return blocks.listMatching({ parts, organisation }, 1_000).length > 0;
}

describe('a blocked part', () => {
  it('refuses only requests that hold all of its parts, of its organisation', () => {
    const blocks = Decisions.createPartBlocks();
    blocks.recordBlock(createBlock('p', { others: ['q'], organisation: 'shop' }), 1_000);
    expect(isRefused(blocks, ['q', 'p', 'last'])).toEqual(true);
    expect(isRefused(blocks, ['p', 'last'])).toEqual(false);
    expect(isRefused(blocks, ['q', 'last'])).toEqual(false);
    expect(isRefused(blocks, ['q', 'p'], 'bakery')).toEqual(false);
  });

  it('refuses no more because of a crash alone, but by what another router has found', () => {
    // Guards against sound requests that happened to be at a target that the blocked part crashed.
    const blocks = Decisions.createPartBlocks();
    const narrow = createBlock('p', { others: ['q'], organisation: 'shop' });
    blocks.recordBlock(narrow, 1_000);
    const crash = { part: 'p', others: ['r'], organisation: 'shop', target: 't9', ageMs: 0 };
    blocks.recordCrash({ ...crash, stage: 'begun' }, 1_000, () => false);
    expect(isRefused(blocks, ['r', 'p'])).toEqual(false);
    const wide = createBlock('p', { others: [] });
    expect([blocks.isNews(narrow), blocks.isNews(wide)]).toEqual([false, true]);
    blocks.recordBlock(wide, 1_000);
    expect(isRefused(blocks, ['r', 'p'], 'bakery')).toEqual(true);
    blocks.recordBlock(narrow, 1_000);
    expect(isRefused(blocks, ['r', 'p'])).toEqual(true);
  });

  it('is refuted by an answer since its first crash, also where others still report it', () => {
    // Guards against a block that routers hand back to each other.
    const blocks = Decisions.createPartBlocks();
    blocks.recordBlock(createBlock('p'), 1_000);
    expect(blocks.recordAnswer('p', 899)).toEqual(false);
    expect(blocks.recordAnswer('p', 950)).toEqual(true);
    expect(blocks.recordBlock(createBlock('p'), 1_000).result).toEqual('refuted');
    expect(blocks.recordBlock(createBlock('p', { firstAgeMs: 20 }), 1_000).result).toEqual('news');
  });

  it('no longer needs a part that was answered', () => {
    const blocks = Decisions.createPartBlocks();
    blocks.recordBlock(createBlock('p', { others: ['q'] }), 1_000);
    blocks.recordAnswer('q', 990);
    expect(isRefused(blocks, ['p'])).toEqual(true);
  });

  it('is dropped where another one explains its crashes and more', () => {
    // Guards against a sound part that is blocked beside the one that crashes targets.
    for (const order of [
      ['sound', 'bad'],
      ['bad', 'sound'],
    ]) {
      const blocks = Decisions.createPartBlocks();
      const targets = { sound: TARGETS, bad: [...TARGETS.slice(1), 't5', 't6'] };
      order.forEach((part) =>
        blocks.recordBlock(createBlock(part, { targets: targets[part as 'sound' | 'bad'] }), 1_000),
      );
      expect(blocks.list(1_000).map(({ part }) => part)).toEqual(['bad']);
    }
  });

  it('is dropped where a narrower one explains as many crashes', () => {
    // Guards against blocking the first part of all prompts, which held the part that crashes targets as well.
    for (const order of [
      ['first', 'bad'],
      ['bad', 'first'],
    ]) {
      const blocks = Decisions.createPartBlocks();
      const others = { first: [], bad: ['first'] };
      order.forEach((part) =>
        blocks.recordBlock(createBlock(part, { others: others[part as 'first' | 'bad'] }), 1_000),
      );
      expect(blocks.list(1_000).map(({ part }) => part)).toEqual(['bad']);
    }
  });

  it('stays beside another one with crashes of its own', () => {
    const blocks = Decisions.createPartBlocks();
    blocks.recordBlock(createBlock('p'), 1_000);
    blocks.recordBlock(createBlock('r', { targets: ['t4', 't5', 't6', 't7', 't8'] }), 1_000);
    expect(blocks.list(1_000).length).toEqual(2);
  });
});
