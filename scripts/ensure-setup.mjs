/**
 * Installs dependencies and builds the packages, so that `npm start` and `npm test` work on a fresh clone.
 * Installs only when the lock file changed since the last install; the build is incremental.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { createHash } from 'node:crypto';
import path from 'node:path';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const stampFile = path.join(root, 'node_modules', '.sequoiarill-lock');

function runStep(command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: ['ignore', 2, 2] });
  if (result.status !== 0) {
    process.stderr.write(`setup failed: ${command} ${args.join(' ')}\n`);
    process.exit(result.status ?? 1);
  }
}

function computeLockHash() {
  const lock = readFileSync(path.join(root, 'package-lock.json'));
  return createHash('sha256').update(lock).digest('hex');
}

function isInstalled(hash) {
  return existsSync(stampFile) && readFileSync(stampFile, 'utf8') === hash;
}

const hash = computeLockHash();
if (!isInstalled(hash)) {
  runStep('npm', ['ci', '--ignore-scripts', '--no-audit', '--no-fund']);
  writeFileSync(stampFile, hash);
}
runStep(process.execPath, [path.join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b']);
