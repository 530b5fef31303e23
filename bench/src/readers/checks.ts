/** Checks of the readers' bench; pure functions. */
import type { ReadResult } from './callers';
import { LARGE_BYTES, PATHS, SMALL_BYTES } from './targets';

export interface Violation {
  readonly rule: 'whole' | 'memory' | 'exit' | 'fast';
  readonly text: string;
}

export interface ReaderRecords {
  readonly results: readonly ReadResult[];
  /** Results of small answers to callers that read as fast as they can. */
  readonly fast: readonly ReadResult[];
  readonly peakMB: number;
  readonly limitMB: number;
  /** Whether the router ended before it was stopped. */
  readonly hasExited: boolean;
}

const OK = 200;
/** Share of the fast callers that must be served beside slow ones. */
const MIN_FAST_SHARE = 0.95;

function getLength(path: string): number {
  return path === PATHS.small ? SMALL_BYTES : LARGE_BYTES;
}

export function isServed({ status, isComplete, bytes, path }: ReadResult): boolean {
  return status === OK && isComplete && bytes === getLength(path);
}

export function* checkReaders(records: ReaderRecords): Generator<Violation> {
  const { results, fast, peakMB, limitMB, hasExited } = records;
  for (const { id, path, status, bytes, isComplete } of [...results, ...fast]) {
    if (status === OK && isComplete && bytes !== getLength(path)) {
      yield { rule: 'whole', text: `${id}: looks whole with ${bytes} bytes of ${path}` };
    }
  }
  if (peakMB > limitMB) {
    yield { rule: 'memory', text: `the router used ${peakMB} MB of ${limitMB}` };
  }
  if (hasExited) yield { rule: 'exit', text: 'the router ended' };
  const served = fast.filter(isServed).length;
  if (served < fast.length * MIN_FAST_SHARE) {
    yield { rule: 'fast', text: `${served} of ${fast.length} fast callers were served` };
  }
}
