/** The complete command-line interface, assembled from its commands. */
import * as Commander from 'commander';

import * as ConfigCommands from './commands/config';
import * as ExplainCommands from './commands/explain';
import * as RouterCommands from './commands/router';
import * as SettingsCommands from './commands/settings';
import * as StateCommands from './commands/state';

const EXAMPLES = `
Examples:
  sequoiarill settings check router.ini          validate a settings file
  sequoiarill router --settings router.ini       run a router
  sequoiarill config put --section fit fit.json  update the section of one team
  sequoiarill state --at 127.0.0.1:8090          show the state of a process
  sequoiarill explain resp_abc --at 127.0.0.1:8090`;

export function createProgram(): Commander.Command {
  return new Commander.Command('sequoiarill')
    .description(
      'routes long-running generations to model engines and recovers them from engine failures',
    )
    .showHelpAfterError()
    .addCommand(RouterCommands.createRouterCommand())
    .addCommand(SettingsCommands.createSettingsCommand())
    .addCommand(ConfigCommands.createConfigCommand())
    .addCommand(StateCommands.createStateCommand())
    .addCommand(ExplainCommands.createExplainCommand())
    .addHelpText('after', EXAMPLES);
}
