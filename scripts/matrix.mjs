/**
 * Runs the tests of the fault matrix and prints one row for each cell. A cell is proved when a test whose
 * name begins with the cell's id passed in this run, red when one failed, and not proved when none ran.
 *
 * --json   prints {"cells", "proved", "red", "notProved"}: "cells" lists all rows, the others list ids
 * --write  writes docs/FAULT-MATRIX.md with the results of this run
 */
import { run } from 'node:test';
import { readdirSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import path from 'node:path';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const testing = path.join(root, 'packages', 'sequoiarill-testing');
const page = path.join(root, 'docs', 'FAULT-MATRIX.md');
const CONCURRENT_FILES = 2;
const FILE_TIMEOUT_MS = 180_000;
const CELL_NAME = /^([GO]\d+-[A-Z]\d+) /;

const { CELLS } = createRequire(import.meta.url)(path.join(testing, 'lib', 'matrix', 'cells.js'));

function listTestFiles() {
  return readdirSync(path.join(testing, 'src', '__tests__'))
    .filter((name) => /^matrix.*\.test\.ts$/.test(name))
    .map((name) => path.join(testing, 'lib', '__tests__', name.replace(/\.ts$/, '.js')))
    .sort();
}

/** Results by cell id; a cell with a failed test is red even if other tests of it passed. */
async function runCells(files) {
  const results = new Map();
  const failures = [];
  const stream = run({ files, concurrency: CONCURRENT_FILES, timeout: FILE_TIMEOUT_MS });
  function recordResult(event, result) {
    const id = CELL_NAME.exec(event.name)?.[1];
    if (id !== undefined && event.skip === undefined && event.todo === undefined) {
      if (results.get(id) !== 'red') results.set(id, result);
    }
  }
  stream.on('test:pass', (event) => recordResult(event, 'proved'));
  stream.on('test:fail', (event) => {
    recordResult(event, 'red');
    failures.push(`${event.name}: ${event.details.error?.cause ?? event.details.error}`);
  });
  stream.resume();
  await new Promise((resolve) => {
    stream.on('end', resolve);
  });
  return { results, failures };
}

function formatPage(rows) {
  const count = (result) => rows.filter((row) => row.result === result).length;
  const lines = rows.map(
    ({ id, step, fault, result }) =>
      `| ${id} | ${step} | ${fault} | ${result === 'not proved' ? 'none' : id} | ${result} |`,
  );
  return [
    '# Fault matrix',
    '',
    'Written by `npm run matrix -- --write` from a run of the tests; do not edit it. The test of a cell',
    'is the one in `packages/sequoiarill-testing/src/__tests__/matrix*` whose name begins with the',
    'id of the cell. A cell that no test ran is not proved.',
    '',
    `${rows.length} cells: ${count('proved')} proved, ${count('red')} red, ${count('not proved')} not proved.`,
    '',
    '| cell | step | fault | test | result |',
    '| --- | --- | --- | --- | --- |',
    ...lines,
    '',
  ].join('\n');
}

const options = new Set(process.argv.slice(2));
const { results, failures } = await runCells(listTestFiles());
const rows = CELLS.map((cell) => ({ ...cell, result: results.get(cell.id) ?? 'not proved' }));
const listIds = (result) => rows.filter((row) => row.result === result).map(({ id }) => id);

if (options.has('--write')) {
  // Loaded only for --write, the one option that formats a page.
  const prettier = await import('prettier');
  const config = await prettier.resolveConfig(page);
  const text = await prettier.format(formatPage(rows), { ...config, filepath: page });
  writeFileSync(page, text);
}
if (options.has('--json')) {
  const summary = {
    cells: rows,
    proved: listIds('proved'),
    red: listIds('red'),
    notProved: listIds('not proved'),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
} else {
  for (const { id, step, fault, result } of rows) {
    process.stdout.write(`${id.padEnd(8)}${result.padEnd(12)}${step} × ${fault}\n`);
  }
  process.stdout.write(`\n${rows.length} cells: ${listIds('proved').length} proved, `);
  process.stdout.write(
    `${listIds('red').length} red, ${listIds('not proved').length} not proved\n`,
  );
}
for (const failure of failures) process.stderr.write(`${failure}\n`);
process.exit(failures.length === 0 ? 0 : 1);
