/** Random choices that follow from a seed. */
import * as UniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as PureRand from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** From 0 up to 1, without 1. */
  readonly next: () => number;
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
      if (item === undefined) throw new Error('there is nothing to pick from');
      return item;
    },
  };
}
