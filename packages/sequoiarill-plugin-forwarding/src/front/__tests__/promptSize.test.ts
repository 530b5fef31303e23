import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as PromptSizes from '../promptSize';

describe('sizes of requests', () => {
  const cases: readonly (readonly [string | undefined, string | undefined, number, number])[] = [
    ['8000,900', '300', 8_000, 300],
    ['8000,900', undefined, 8_000, 900],
    ['8000', 'many', 8_000, 0],
    ['8000,-5', '-3', 8_000, 0],
    ['8000,1e99', 'NaN', 8_000, 0],
    ['-8000,900', '', 0, 900],
    ['99999999999,99999999999', '99999999999', 0, 0],
    [undefined, undefined, 0, 0],
    ['abc,', 'Infinity', 0, 0],
  ];
  for (const [size, hint, promptTokens, outputTokens] of cases) {
    it(`are bounded: ${size} with hint ${hint}`, () => {
      // Guards against a malformed header that takes all room, or makes every wait endless.
      expect(PromptSizes.decodeSizes(size, hint)).toEqual({ promptTokens, outputTokens });
    });
  }
});
