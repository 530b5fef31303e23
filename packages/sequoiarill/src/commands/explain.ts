/** `sequoiarill explain`: the decisions made for one request, with their times and reasons. */
import type { DecisionEntry } from '@sequoiarill/types';
import * as Commander from 'commander';

import * as Outputs from './commandOutput';
import * as OperatorsClient from './operatorsClient';

interface ExplainOptions {
  readonly at: string;
  readonly json?: boolean;
  readonly tokenFile?: string;
}

/** The decisions that one process recorded for the request. */
export interface Explanation {
  readonly requestId: string;
  readonly process: string;
  readonly entries: readonly DecisionEntry[];
}

export function createExplainCommand(
  output: Outputs.CommandOutput = Outputs.createProcessOutput(),
): Commander.Command {
  return new Commander.Command('explain')
    .description('show the decisions made for a request, with times and reasons')
    .argument('<request-id>', 'id of the request, as in the response and the logs')
    .requiredOption('--at <addresses>', 'IP:PORT of one or more listeners, separated by commas')
    .option('--json', 'print JSON instead of a timeline')
    .option('--token-file <file>', 'file that contains the token of the listeners')
    .action((requestId: string, options: ExplainOptions) =>
      printExplanations(requestId, options, output),
    );
}

async function printExplanations(
  requestId: string,
  options: ExplainOptions,
  output: Outputs.CommandOutput,
): Promise<void> {
  const token = OperatorsClient.loadToken(options.tokenFile);
  const path = `/explain/${encodeURIComponent(requestId)}`;
  const addresses = options.at.split(',').map((address) => address.trim());
  const outcomes = await Promise.all(
    addresses.map((address) => OperatorsClient.callOperators(address, path, token)),
  );
  const explanations = outcomes.flatMap((outcome) =>
    outcome.kind === 'answer' ? [outcome.body as Explanation] : [],
  );
  const failures = outcomes.filter((outcome) => outcome.kind === 'failure');
  failures.forEach((failure) => output.printError(failure.message));
  if (explanations.length === 0 && failures.length === 0) {
    output.printError(`none of ${addresses.join(', ')} knows request "${requestId}"`);
  }
  // A router that did not respond may have further decisions, so the result is incomplete.
  if (explanations.length === 0 || failures.length > 0) output.setExitCode(1);
  if (explanations.length === 0) return;
  const sorted = [...explanations].sort((left, right) =>
    compareText(getStartTime(left), getStartTime(right)),
  );
  output.print(
    options.json
      ? JSON.stringify(sorted, undefined, 2)
      : sorted.map(formatExplanation).join('\n\n'),
  );
}

/** Formats one line per decision; times are relative to the first decision of the process. */
export function formatExplanation(explanation: Explanation): string {
  const { requestId, process: name, entries } = explanation;
  const elapsedTimes = entries.map((entry) => `${entry.elapsedMs} ms`);
  const timeWidth = Math.max(0, ...elapsedTimes.map((time) => time.length));
  const kindWidth = Math.max(0, ...entries.map((entry) => entry.kind.length));
  const detailIndent = ' '.repeat(timeWidth + kindWidth + 6);
  const lines = entries.flatMap((entry, index) => {
    const time = (elapsedTimes[index] ?? '').padStart(timeWidth);
    const line = `  ${time}  ${entry.kind.padEnd(kindWidth)}  ${entry.reason}`;
    const details = Object.entries(entry.details).map(([key, value]) => formatDetail(key, value));
    return details.length === 0 ? [line] : [line, `${detailIndent}${details.join(', ')}`];
  });
  return [`request ${requestId} at ${name}, from ${getStartTime(explanation)}`, ...lines].join(
    '\n',
  );
}

function formatDetail(name: string, value: unknown): string {
  return `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`;
}

function getStartTime(explanation: Explanation): string {
  return explanation.entries[0]?.at ?? '';
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
