import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Cells from '../matrix/cells';

const PAGE = path.join(__dirname, '../../../../docs/FAULT-MATRIX.md');
const ROW_PATTERN = /^\| ([GO]\d+-[A-Z]\d+) +\| (.*?) +\| (.*?) +\|/gm;

describe('docs/FAULT-MATRIX.md', () => {
  it('has exactly the cells of the matrix', () => {
    // A reader takes the page for the list of what is proved. A cell that was added to the matrix
    // later, or renamed, is missing there. Cause: the page was not written again.
    const rows = [...readFileSync(PAGE, 'utf8').matchAll(ROW_PATTERN)].map(
      ([, id, step, fault]) => ({ id, step, fault }),
    );
    expect(rows).toEqual(Cells.CELLS.map(({ id, step, fault }) => ({ id, step, fault })));
  });

  it('gives every cell an id of its own', () => {
    expect(new Set(Cells.CELLS.map(({ id }) => id)).size).toEqual(Cells.CELLS.length);
  });
});
