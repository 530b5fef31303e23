/** Command line of the soak test: runs seeds one after the other and stores the records of failed runs. */
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
  readonly crashingPart?: boolean;
}

const SECONDS_PER_MINUTE = 60;
const CALLERS_PER_PROCESS = 4;

function writeFailure(folder: string, seed: number, result: SoakResult): string {
  const failureFolder = path.join(folder, `seed-${seed}`);
  mkdirSync(failureFolder, { recursive: true });
  const { lines, ...rest } = result;
  writeFileSync(
    path.join(failureFolder, 'result.json'),
    `${JSON.stringify({ seed, ...rest }, null, 2)}\n`,
  );
  writeFileSync(
    path.join(failureFolder, 'routers.log'),
    lines.map((line) => `${JSON.stringify(line)}\n`).join(''),
  );
  return failureFolder;
}

async function runSeeds(args: Arguments): Promise<void> {
  const routers = Number(args.processes);
  const seconds = Number(args.minutes) * SECONDS_PER_MINUTE;
  const first = Number(args.seed);
  for (let seed = first; seed < first + Number(args.runs); seed += 1) {
    const callers = routers * CALLERS_PER_PROCESS;
    const hasCrashingPart = args.crashingPart === true;
    const result = await Runs.runSoak({ seed, seconds, routers, callers, hasCrashingPart });
    const { violations, schedule, requests, answered, probes, resumed, resumedServed } = result;
    const { crashes, silent, silentWhole, undisturbed, stopped, flooded, besideFloods } = result;
    const resumes = { resumed, resumedServed };
    const counts = {
      requests,
      answered,
      probes,
      ...resumes,
      silent,
      silentWhole,
      undisturbed,
      stopped,
      flooded,
      besideFloods,
      crashes,
    };
    const line = { seed, steps: schedule.length, ...counts };
    process.stdout.write(`${JSON.stringify({ ...line, violations: violations.length })}\n`);
    if (violations.length > 0) {
      violations.slice(0, 10).forEach(({ rule, text }) => {
        process.stdout.write(`  ${rule}: ${text}\n`);
      });
      process.stdout.write(`  records written to ${writeFailure(args.folder, seed, result)}\n`);
      process.exitCode = 1;
    }
  }
}

process.once('SIGINT', () => process.exit(1));
process.once('SIGTERM', () => process.exit(1));

const program = new Command('soak')
  .description(
    'Injects faults into router processes under load and checks the guarantees of the system.',
  )
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <number>', 'number of seeds to run, one after the other', '1')
  .option('--minutes <number>', 'minutes with faults for each seed', '0.5')
  .option('--processes <number>', 'number of router processes', '3')
  .option('--crashing-part', 'send requests with a part of prompts that crashes engines')
  .option('--folder <path>', 'folder for the records of failed runs', 'soak-failures')
  .action(runSeeds);

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(`the soak failed: ${(error as Error).message}\n`);
  process.exitCode = 1;
});
