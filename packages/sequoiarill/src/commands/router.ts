/** `sequoiarill router`: runs one router until it receives SIGTERM or SIGINT. */
import type * as Kernel from '@sequoiarill/kernel';
import * as KernelSettings from '@sequoiarill/kernel';
import * as Commander from 'commander';

import * as Routers from '../router';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 1;

export function createRouterCommand(): Commander.Command {
  return new Commander.Command('router')
    .description('run a router; on SIGTERM or SIGINT it drains and stops')
    .requiredOption('--settings <file>', 'INI file with the settings of this process')
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
    process.stderr.write(`${file}: the router cannot start: ${(error as Error).message}\n`);
    process.exitCode = EXIT_START_FAILED;
  }
}

/** Prints all faults and sets the exit code if the settings file is unreadable or invalid. */
export function readSettings(file: string): Kernel.Settings | undefined {
  const result = readResult(file);
  if (result.kind === 'settings') return result.settings;
  const lines = result.faults.map(KernelSettings.formatFault);
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = EXIT_INVALID_SETTINGS;
  return undefined;
}

function readResult(file: string): Kernel.SettingsResult {
  try {
    return Routers.loadSettings(file);
  } catch (error) {
    const reason = `cannot be read: ${(error as Error).message}`;
    return { kind: 'faults', faults: [{ file, section: '', key: '', reason }] };
  }
}
