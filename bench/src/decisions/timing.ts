/** Measures the time of one call and the memory of one state in this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const WARM_UP_CALLS = 3_000;
const BATCHES = 41;
const CALLS_PER_BATCH = 500;

/** Returns the median over batches in microseconds, so that pauses of the machine have no effect. */
export function measureMicros(call: (index: number) => void): number {
  for (let index = 0; index < WARM_UP_CALLS; index += 1) call(index);
  const batches: number[] = [];
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedAt = process.hrtime.bigint();
    for (let index = 0; index < CALLS_PER_BATCH; index += 1) call(batch * CALLS_PER_BATCH + index);
    batches.push(Number(process.hrtime.bigint() - startedAt) / 1000 / CALLS_PER_BATCH);
  }
  batches.sort((left, right) => left - right);
  return batches[Math.floor(batches.length / 2)] ?? 0;
}

function getHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Measures the heap that the created value retains, in bytes. */
export function measureBytes(create: () => unknown): number {
  const before = getHeapBytes();
  const retained = [create()];
  const after = getHeapBytes();
  return retained.length > 0 ? Math.max(0, after - before) : 0;
}
