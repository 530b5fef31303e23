/** Command line of the stand-ins: runs one stand-in in its own process. */
import * as Commander from 'commander';
import type { ZodType } from 'zod';

import * as Engine from './engine';
import * as Platform from './platform';
import * as Service from './service';
import * as SettingsFiles from './shared/settingsFile';

interface RunningStandin {
  readonly start: () => Promise<{ readonly address: string }>;
  readonly stop: () => Promise<void>;
}

interface StandinKind {
  /** Name of the subcommand and of the section in the settings file. */
  readonly name: string;
  readonly description: string;
  readonly schema: ZodType;
  readonly create: (settings: Readonly<Record<string, unknown>>) => RunningStandin;
}

const KINDS: readonly StandinKind[] = [
  {
    name: 'platform',
    description: "the platform's key-value service",
    schema: Platform.platformSettingsSchema,
    create: (settings) => Platform.createPlatformStandin(settings),
  },
  {
    name: 'engine',
    description: 'a model engine',
    schema: Engine.engineSettingsSchema,
    create: (settings) => Engine.createEngineStandin(settings),
  },
  {
    name: 'service',
    description: 'a plain service',
    schema: Service.serviceSettingsSchema,
    create: (settings) => Service.createServiceStandin(settings),
  },
];

const KEEP_ALIVE_MS = 60_000;

async function runStandin(kind: StandinKind, file: string | undefined): Promise<void> {
  const result = SettingsFiles.loadSettingsFile(file, kind.name, kind.schema);
  if (result.kind === 'faults') {
    for (const fault of result.faults) process.stderr.write(`${fault}\n`);
    process.exitCode = 1;
    return;
  }
  const standin = kind.create(result.settings);
  const { address } = await standin.start();
  process.stdout.write(`${JSON.stringify({ standin: kind.name, address })}\n`);
  // A stand-in that simulates a crash closes its listener; without this timer the process would
  // exit.
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MS);
  // After the stop nothing keeps the event loop alive, so the process exits by itself.
  const handleSignal = (): void => {
    clearInterval(keepAlive);
    standin.stop().catch((error: unknown) => failProcess(error));
  };
  process.once('SIGTERM', handleSignal);
  process.once('SIGINT', handleSignal);
}

function failProcess(error: unknown): void {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
}

function createProgram(): Commander.Command {
  const program = new Commander.Command('sequoiarill-standin');
  program.description('Runs a stand-in for a system that sequoiarill communicates with.');
  for (const kind of KINDS) {
    program
      .command(kind.name)
      .description(kind.description)
      .option('--settings <file>', `INI file with the section [${kind.name}]`)
      .action((options: { readonly settings?: string }) => runStandin(kind, options.settings));
  }
  return program;
}

createProgram().parseAsync().catch(failProcess);
