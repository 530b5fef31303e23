/** `sequoiarill router`: runs one router until it is told to stop. */
import type * as Kernel from '@sequoiarill/kernel';
import * as KernelSettings from '@sequoiarill/kernel';
import * as Commander from 'commander';

import * as Routers from '../router';

const EXIT_SETTINGS = 2;
const EXIT_START = 1;

export function createRouterCommand(): Commander.Command {
  return new Commander.Command('router')
    .description('run one router until SIGTERM or SIGINT, which drain it first')
    .requiredOption('--settings <file>', 'INI file with the sections of this process')
    .action(async ({ settings }: { readonly settings: string }) => runRouter(settings));
}

async function runRouter(file: string): Promise<void> {
  const settings = readSettings(file);
  if (settings === undefined) return;
  try {
    const router = await Routers.startRouter(settings);
    const stop = () => {
      router.stop().catch(() => undefined);
    };
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  } catch (error) {
    process.stderr.write(`${file}: the router can't start: ${(error as Error).message}\n`);
    process.exitCode = EXIT_START;
  }
}

/** Prints every fault and sets the exit code when the file can't be used. */
export function readSettings(file: string): Kernel.Settings | undefined {
  const result = readResult(file);
  if (result.kind === 'settings') return result.settings;
  const lines = result.faults.map(KernelSettings.formatFault);
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = EXIT_SETTINGS;
  return undefined;
}

function readResult(file: string): Kernel.SettingsResult {
  try {
    return Routers.loadSettings(file);
  } catch (error) {
    const reason = `can't be read: ${(error as Error).message}`;
    return { kind: 'faults', faults: [{ file, section: '', key: '', reason }] };
  }
}
