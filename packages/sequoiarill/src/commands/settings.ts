/** `sequoiarill settings check`: validates a settings file without starting a router. */
import * as Commander from 'commander';

import * as RouterCommands from './router';

export function createSettingsCommand(): Commander.Command {
  const check = new Commander.Command('check')
    .description('list all faults of a settings file; exits with 2 if there are any')
    .argument('<file>', 'INI file of a router')
    .action((file: string) => {
      if (RouterCommands.readSettings(file) !== undefined) {
        process.stdout.write(`${file}: no fault found\n`);
      }
    });
  return new Commander.Command('settings')
    .description('work with settings files')
    .addCommand(check);
}
