import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ReadResult } from '../callers';
import * as Checks from '../checks';
import type { ReaderRecords } from '../checks';
import { LARGE_BYTES, PATHS, SMALL_BYTES } from '../targets';

function createResult(overrides: Partial<ReadResult> = {}): ReadResult {
  return {
    id: 'a',
    path: PATHS.large,
    status: 200,
    bytes: LARGE_BYTES,
    isComplete: true,
    hasLeft: false,
    durationMs: 100,
    ...overrides,
  };
}

function listRules(records: Partial<ReaderRecords>): readonly string[] {
  const base = { results: [], fast: [], peakMB: 100, limitMB: 186, hasExited: false };
  return [...Checks.checkReaders({ ...base, ...records })].map(({ rule }) => rule);
}

describe('the checks of the readers bench', () => {
  it('report an answer that looks whole and is not, and none that breaks off', () => {
    // Failure: a cut answer is framed as a whole one, and its caller uses half of the data.
    const cut = createResult({ bytes: 1_000 });
    expect(listRules({ results: [createResult()] })).toEqual([]);
    expect(listRules({ results: [{ ...cut, isComplete: false }] })).toEqual([]);
    expect(listRules({ results: [cut] })).toEqual(['whole']);
    expect(listRules({ results: [createResult({ path: PATHS.chunked, bytes: 9 })] })).toEqual([
      'whole',
    ]);
  });

  it('report too much memory and a router that ended', () => {
    // Failure: slow readers make the router exceed its VM, and nothing reports it.
    expect(listRules({ peakMB: 187 })).toEqual(['memory']);
    expect(listRules({ hasExited: true })).toEqual(['exit']);
  });

  it('report fast callers that are not served', () => {
    // Failure: the router survives slow readers by refusing everybody else.
    const small = createResult({ path: PATHS.small, bytes: SMALL_BYTES });
    const refused = createResult({ path: PATHS.small, status: 503, bytes: 0 });
    const served = Array.from({ length: 19 }, () => small);
    expect(listRules({ fast: [...served, refused] })).toEqual([]);
    expect(listRules({ fast: [...served, refused, refused] })).toEqual(['fast']);
  });
});
