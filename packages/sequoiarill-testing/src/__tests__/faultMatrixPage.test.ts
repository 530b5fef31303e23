import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';

const PAGE = path.join(__dirname, '../../../../docs/FAULT-MATRIX.md');
const ROW_PATTERN = /^\| ([GO]\d+-[A-Z]\d+) +\| (.*?) +\| (.*?) +\|/gm;

describe('docs/FAULT-MATRIX.md', () => {
  it('has exactly the cells of the matrix', () => {
    // Guards against an outdated page, which readers take as the list of proven cells: cells that were
    // added or renamed are missing until the page is generated again.
    const rows = [...readFileSync(PAGE, 'utf8').matchAll(ROW_PATTERN)].map(
      ([, id, step, fault]) => ({ id, step, fault }),
    );
    expect(rows).toEqual(Cells.CELLS.map(({ id, step, fault }) => ({ id, step, fault })));
  });

  it('gives every cell a unique id', () => {
    expect(new Set(Cells.CELLS.map(({ id }) => id)).size).toEqual(Cells.CELLS.length);
  });
});
