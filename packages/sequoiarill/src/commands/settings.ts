/** `sequoiarill settings check`: finds every fault of a settings file without starting anything. */
import * as Commander from 'commander';

import * as RouterCommands from './router';

export function createSettingsCommand(): Commander.Command {
  const check = new Commander.Command('check')
    .description('list every fault of a settings file; exit code 2 if there is one')
    .argument('<file>', 'INI file of a router')
    .action((file: string) => {
      if (RouterCommands.readSettings(file) !== undefined) {
        process.stdout.write(`${file}: no fault found\n`);
      }
    });
  return new Commander.Command('settings').description('settings files').addCommand(check);
}
