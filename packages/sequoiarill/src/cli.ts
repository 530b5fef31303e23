/** The whole command line, put together from its commands. */
import * as Commander from 'commander';

import * as ConfigCommands from './commands/config';
import * as ExplainCommands from './commands/explain';
import * as RouterCommands from './commands/router';
import * as SettingsCommands from './commands/settings';
import * as StateCommands from './commands/state';

const EXAMPLES = `
Examples:
  sequoiarill settings check router.ini          find faults before a start
  sequoiarill router --settings router.ini       run a router
  sequoiarill config put --section fit fit.json  change one team's section
  sequoiarill state --at 127.0.0.1:8090          see what a process does
  sequoiarill explain resp_abc --at 127.0.0.1:8090`;

export function createProgram(): Commander.Command {
  return new Commander.Command('sequoiarill')
    .description('serves long generations from engines that can die at any moment')
    .showHelpAfterError()
    .addCommand(RouterCommands.createRouterCommand())
    .addCommand(SettingsCommands.createSettingsCommand())
    .addCommand(ConfigCommands.createConfigCommand())
    .addCommand(StateCommands.createStateCommand())
    .addCommand(ExplainCommands.createExplainCommand())
    .addHelpText('after', EXAMPLES);
}
