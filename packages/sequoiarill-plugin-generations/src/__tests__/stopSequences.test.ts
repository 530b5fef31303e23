import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as FastCheck from 'fast-check';

import * as StopSequences from '../stopSequences';

describe('stop sequences', () => {
  it('are found at the same position however the text is split', () => {
    const letters = FastCheck.string({
      unit: FastCheck.constantFrom('a', 'b', 'c'),
      maxLength: 40,
    });
    FastCheck.assert(
      FastCheck.property(
        letters,
        FastCheck.array(FastCheck.nat(40), { maxLength: 8 }),
        (text, cuts) => {
          const stops = ['abc', 'bb', 'caab'];
          const scanner = StopSequences.createStopScanner(stops);
          const edges = [0, ...cuts, text.length].sort((left, right) => left - right);
          let released = '';
          let stopped = false;
          for (let index = 1; index < edges.length && !stopped; index += 1) {
            const scan = scanner.addText(text.slice(edges[index - 1], edges[index]));
            released += scan.released;
            stopped = scan.stopped;
          }
          if (!stopped) released += scanner.takeHeldText();
          const unsplit = StopSequences.createStopScanner(stops).addText(text);
          const isSame = stopped === unsplit.stopped && (!stopped || text.startsWith(released));
          expect(isSame).toEqual(true);
          expect(stops.some((stop) => released.includes(stop))).toEqual(false);
        },
      ),
      { seed: 41, numRuns: 3000 },
    );
  });
});
