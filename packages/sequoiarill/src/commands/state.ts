/** `sequoiarill state`: shows the state of one process as text or JSON. */
import * as Commander from 'commander';

import * as Outputs from './commandOutput';
import * as OperatorsClient from './operatorsClient';
import * as StateText from './stateText';

interface StateOptions {
  readonly at: string;
  readonly plugin?: string;
  readonly json?: boolean;
  readonly tokenFile?: string;
}

export function createStateCommand(
  output: Outputs.CommandOutput = Outputs.createProcessOutput(),
): Commander.Command {
  return new Commander.Command('state')
    .description('show the state of a process')
    .requiredOption('--at <address>', 'IP:PORT of the operator listener of the process')
    .option('--plugin <name>', 'show only the state of this plug-in')
    .option('--json', 'print JSON instead of aligned text')
    .option('--token-file <file>', 'file that contains the token of the listener')
    .action((options: StateOptions) => printState(options, output));
}

async function printState(options: StateOptions, output: Outputs.CommandOutput): Promise<void> {
  const token = OperatorsClient.loadToken(options.tokenFile);
  const path =
    options.plugin === undefined ? '/state' : `/state/${encodeURIComponent(options.plugin)}`;
  const outcome = await OperatorsClient.callOperators(options.at, path, token);
  if (outcome.kind !== 'answer') {
    output.printError(outcome.message);
    output.setExitCode(1);
    return;
  }
  const text = options.json
    ? JSON.stringify(outcome.body, undefined, 2)
    : StateText.formatState(outcome.body);
  output.print(text);
}
