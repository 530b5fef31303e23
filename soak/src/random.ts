/** Deterministic random choices from a seed. */
import * as UniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as PureRand from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly next: () => number;
  /** Returns an integer between the two bounds, both included. */
  readonly pickBetween: (least: number, most: number) => number;
  readonly pickOne: <Item>(items: readonly Item[]) => Item;
}

export function createRandom(seed: number): Random {
  const generator = PureRand.xoroshiro128plus(seed);
  const next = () => UniformFloat.uniformFloat64(generator);
  return {
    next,
    pickBetween: (least, most) => least + Math.floor(next() * (most - least + 1)),
    pickOne<Item>(items: readonly Item[]): Item {
      const item = items[Math.floor(next() * items.length)];
      if (item === undefined) throw new Error('cannot pick from an empty list');
      return item;
    },
  };
}
