/**
 * Runs the compiled test files with Node's test runner. Failures listed in KNOWN-RED.txt are printed
 * but don't fail the run. Arguments restrict the run to files whose path contains all of them.
 */
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { finished } from 'node:stream/promises';
import { fileURLToPath } from 'node:url';
import path from 'node:path';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
/** Below the number of cores, since several test files start processes of their own. */
const CONCURRENT_FILES = 4;
/** Files with crowds of clients, which run one at a time after the others. */
const CROWD_FILE = /Crowd\.test\.js$/;
/** Ends a test file that hangs, so that the run finishes. */
const FILE_TIMEOUT_MS = 180_000;

function listWorkspaces() {
  const packages = readdirSync(path.join(root, 'packages')).map((name) =>
    path.join('packages', name),
  );
  return [...packages, 'bench', 'platform', 'soak'];
}

function listTestFiles(filters) {
  const files = [];
  for (const workspace of listWorkspaces()) {
    const source = path.join(root, workspace, 'src');
    if (existsSync(source)) {
      for (const entry of readdirSync(source, { recursive: true })) {
        if (/__tests__[\\/].*\.test\.ts$/.test(entry)) {
          files.push(path.join(root, workspace, 'lib', entry.replace(/\.ts$/, '.js')));
        }
      }
    }
  }
  const chosen = files.filter((file) => filters.every((filter) => file.includes(filter)));
  return chosen.sort();
}

/** Format of a line: test name | command and seed | observed failure | cause | issue. */
function readKnownRed() {
  const file = path.join(root, 'KNOWN-RED.txt');
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
}

const knownRed = readKnownRed();
const knownNames = new Set(knownRed.map((line) => line.split('|')[0].trim()));
const files = listTestFiles(process.argv.slice(2));
let passed = 0;
let unexpected = 0;
const seenRed = new Set();

/** Resolves when all tests of these files have run. */
async function runFiles(chosen, concurrency) {
  if (chosen.length === 0) return;
  const stream = run({ files: chosen, concurrency, timeout: FILE_TIMEOUT_MS });
  stream.on('test:pass', (event) => {
    if (event.details.type !== 'suite') passed += 1;
  });
  stream.on('test:fail', (event) => {
    const isParent = event.details.error?.failureType === 'subtestsFailed';
    if (knownNames.has(event.name)) seenRed.add(event.name);
    else if (!isParent) unexpected += 1;
  });
  const report = stream.compose(new SpecReporter());
  report.pipe(process.stdout, { end: false });
  await finished(report);
}

await runFiles(
  files.filter((file) => !CROWD_FILE.test(file)),
  CONCURRENT_FILES,
);
await runFiles(
  files.filter((file) => CROWD_FILE.test(file)),
  1,
);
for (const line of knownRed) process.stdout.write(`known red: ${line}\n`);
for (const name of knownNames) {
  if (!seenRed.has(name)) process.stdout.write(`known red did not fail: ${name}\n`);
}
process.stdout.write(`\n${passed} passed, ${unexpected} failed\n`);
process.exitCode = unexpected === 0 && passed > 0 ? 0 : 1;
