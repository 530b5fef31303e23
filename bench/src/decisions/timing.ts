/** Time of one call and bytes of one state, measured on this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const WARM_UP_CALLS = 3_000;
const BATCHES = 41;
const CALLS_A_BATCH = 500;

/** Median over batches, so that a pause of the machine does not count. Microseconds. */
export function measureMicros(call: (index: number) => void): number {
  for (let index = 0; index < WARM_UP_CALLS; index += 1) call(index);
  const batches: number[] = [];
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedAt = process.hrtime.bigint();
    for (let index = 0; index < CALLS_A_BATCH; index += 1) call(batch * CALLS_A_BATCH + index);
    batches.push(Number(process.hrtime.bigint() - startedAt) / 1000 / CALLS_A_BATCH);
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

/** Heap that the value holds on to, in bytes. */
export function measureBytes(create: () => unknown): number {
  const before = getHeapBytes();
  const kept = [create()];
  const after = getHeapBytes();
  return kept.length > 0 ? Math.max(0, after - before) : 0;
}
