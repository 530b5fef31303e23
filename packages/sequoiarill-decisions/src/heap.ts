/** A binary min-heap; adding and taking a value cost logarithmic time. */

export interface Heap<Value> {
  readonly addValue: (value: Value) => void;
  /** Returns the value with the lowest rank without removing it. */
  readonly getFirst: () => Value | undefined;
  readonly takeFirst: () => Value | undefined;
  readonly getSize: () => number;
}

export function createHeap<Value>(getRank: (value: Value) => number): Heap<Value> {
  const values: Value[] = [];

  function compareAt(left: number, right: number): number {
    return getRank(values[left] as Value) - getRank(values[right] as Value);
  }

  function applySwap(left: number, right: number): void {
    const swapped = values[left] as Value;
    values[left] = values[right] as Value;
    values[right] = swapped;
  }

  function addValue(value: Value): void {
    values.push(value);
    let child = values.length - 1;
    while (child > 0) {
      const parent = Math.floor((child - 1) / 2);
      if (compareAt(child, parent) >= 0) return;
      applySwap(child, parent);
      child = parent;
    }
  }

  function pickLesserChild(parent: number): number {
    const left = parent * 2 + 1;
    const right = left + 1;
    return right < values.length && compareAt(right, left) < 0 ? right : left;
  }

  function takeFirst(): Value | undefined {
    const first = values[0];
    const last = values.pop();
    if (values.length === 0 || last === undefined) return first;
    values[0] = last;
    let parent = 0;
    while (parent * 2 + 1 < values.length) {
      const child = pickLesserChild(parent);
      if (compareAt(child, parent) >= 0) break;
      applySwap(child, parent);
      parent = child;
    }
    return first;
  }

  return { addValue, takeFirst, getFirst: () => values[0], getSize: () => values.length };
}
