/** Runs a case: its record, its exit code (0 held, 1 broken, 2 could not run), and the end of all that it started. */
/* eslint-disable import-x/extensions, import-x/prefer-default-export -- plain scripts name files in full and export by name */
import { writeFileSync } from 'node:fs';
import path from 'node:path';

import { createDeployment } from './deployment.mjs';
import { createStore } from './store.mjs';

const LIMIT_MS = 115_000;
const EXIT = { held: 0, broken: 1, failed: 2 };

/** `runScenario` gets what it needs and returns the faults that it saw, as lines of text. */
export async function runCase(folder, fields, runScenario) {
  const lines = [];
  const startedMs = performance.now();
  const record = (text) =>
    lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3)} ${text}`);
  const hasTrouble = process.env.TROUBLE !== '0';
  record(`trouble: ${hasTrouble}`);
  const store = createStore();
  const deployment = createDeployment({ record, store: await store.start(), fields });

  async function end(result, summary) {
    record(`${result}: ${summary}`);
    await deployment.stopAll();
    store.stop();
    writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    console.log(`${result}: ${summary}`);
    process.exit(EXIT[result]);
  }

  setTimeout(() => end('failed', 'the time limit of the case has passed'), LIMIT_MS);
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => end('failed', signal)));
  try {
    const faults = await runScenario({ record, store, deployment, hasTrouble });
    faults.forEach((fault) => record(`fault: ${fault}`));
    if (faults.length === 0) await end('held', 'the rule held');
    else await end('broken', `${faults.length} faults, the first: ${faults[0]}`);
  } catch (error) {
    await end('failed', error.stack);
  }
}
