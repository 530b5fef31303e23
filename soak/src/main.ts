/** Command line of the soak: plays seeds one after the other, and keeps what a failed one left. */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { Command } from 'commander';

import * as Runs from './run';
import type { SoakResult } from './run';

interface Arguments {
  readonly seed: string;
  readonly runs: string;
  readonly minutes: string;
  readonly processes: string;
  readonly folder: string;
}

const SECONDS_PER_MINUTE = 60;
const CALLERS_PER_PROCESS = 4;

function writeFailure(folder: string, seed: number, result: SoakResult): string {
  const place = path.join(folder, `seed-${seed}`);
  mkdirSync(place, { recursive: true });
  const { lines, ...rest } = result;
  writeFileSync(path.join(place, 'result.json'), `${JSON.stringify({ seed, ...rest }, null, 2)}\n`);
  writeFileSync(
    path.join(place, 'routers.log'),
    lines.map((line) => `${JSON.stringify(line)}\n`).join(''),
  );
  return place;
}

async function runSeeds(given: Arguments): Promise<void> {
  const routers = Number(given.processes);
  const seconds = Number(given.minutes) * SECONDS_PER_MINUTE;
  const first = Number(given.seed);
  for (let seed = first; seed < first + Number(given.runs); seed += 1) {
    const callers = routers * CALLERS_PER_PROCESS;
    const result = await Runs.runSoak({ seed, seconds, routers, callers });
    const { violations, schedule, requests, answered, probes } = result;
    const line = { seed, steps: schedule.length, requests, answered, probes };
    process.stdout.write(`${JSON.stringify({ ...line, violations: violations.length })}\n`);
    if (violations.length > 0) {
      violations.slice(0, 10).forEach(({ rule, text }) => {
        process.stdout.write(`  ${rule}: ${text}\n`);
      });
      process.stdout.write(`  kept in ${writeFailure(given.folder, seed, result)}\n`);
      process.exitCode = 1;
    }
  }
}

process.once('SIGINT', () => process.exit(1));
process.once('SIGTERM', () => process.exit(1));

const program = new Command('soak')
  .description('Plays faults against routers that run as processes, and checks the promises.')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'seeds to play, one after the other', '1')
  .option('--minutes <number>', 'time with faults for each seed', '0.5')
  .option('--processes <number>', 'routers', '3')
  .option('--folder <path>', 'where failed runs are kept', 'soak-failures')
  .action(runSeeds);

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`the soak can't run: ${(error as Error).message}\n`);
  process.exitCode = 1;
});
