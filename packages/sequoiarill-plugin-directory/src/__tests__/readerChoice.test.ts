import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as ReaderChoices from '../readerChoice';

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

function createRouters(count: number, zone: string) {
  return Array.from({ length: count }, (_one, index) => ({
    address: `10.0.${zone === 'a' ? 1 : 2}.${index}:7000`,
    zone,
  }));
}

function listChoices(count: number, excluded = NO_EXCLUSIONS): readonly (string | undefined)[] {
  const routers = [...createRouters(count, 'a'), ...createRouters(3, 'b')];
  return createRouters(count, 'a').map(({ address: ownAddress }) =>
    ReaderChoices.chooseReader({ ownAddress, zone: 'a', routers, excluded }),
  );
}

describe('readers of a zone', () => {
  it('are all routers of a small zone', () => {
    expect(listChoices(4).every((choice) => choice === undefined)).toEqual(true);
  });

  it('are two of a zone of five to eight, so that calls do not grow with its routers', () => {
    for (const count of [5, 6, 7, 8]) {
      const choices = listChoices(count);
      expect(choices.filter((choice) => choice === undefined).length).toEqual(2);
    }
  });

  it('are a few routers of a large zone with an even load', () => {
    // If each of 30 routers in a zone watched the store, every change would cost 30 calls.
    const choices = listChoices(30);
    const readers = new Set(choices.filter((choice) => choice !== undefined));
    expect(choices.filter((choice) => choice === undefined).length).toEqual(2);
    expect(readers.size).toEqual(2);
    const counts = [...readers].map(
      (reader) => choices.filter((choice) => choice === reader).length,
    );
    expect(Math.max(...counts)).toBeLessThan(20);
  });

  it('are skipped while they are excluded, all of them if necessary', () => {
    const [first, second] = [...new Set(listChoices(12).filter((reader) => reader !== undefined))];
    const others = listChoices(12, new Set([first ?? '']));
    expect(others.includes(first)).toEqual(false);
    expect(others.includes(second)).toEqual(true);
    const none = listChoices(12, new Set([first ?? '', second ?? '']));
    expect(none.every((choice) => choice === undefined)).toEqual(true);
  });
});
