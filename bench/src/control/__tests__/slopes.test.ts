import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Slopes from '../slopes';

describe('least squares', () => {
  it('finds the line through points that lie on it, with no standard error', () => {
    const slope = Slopes.computeSlope([
      [4, 11],
      [8, 19],
      [16, 35],
    ]);
    expect(slope).toEqual({ perUnit: 2, intercept: 3, standardError: 0 });
  });

  it('gives the standard error for points off the line', () => {
    const slope = Slopes.computeSlope([
      [0, 0],
      [1, 2],
      [2, 1],
      [3, 3],
    ]);
    expect(slope.perUnit).toBeGreaterThan(0.79);
    expect(slope.perUnit).toBeLessThan(0.81);
    expect(slope.standardError).toBeGreaterThan(0.42);
    expect(slope.standardError).toBeLessThan(0.43);
  });
});
