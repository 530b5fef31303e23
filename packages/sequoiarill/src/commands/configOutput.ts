/** Output of the `config` commands, as text or JSON, and their exit codes. */
import type * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';

import type { CommandOutput } from './commandOutput';

export interface CommandResult {
  /** 0: success. 1: refused; correct the input and retry. 2: the platform gave no result. */
  readonly exitCode: 0 | 1 | 2;
  readonly text: string;
  readonly json: unknown;
}

export function printResult(output: CommandOutput, result: CommandResult, isJson = false): void {
  output.setExitCode(result.exitCode);
  const text = result.text.replace(/\n$/, '');
  if (isJson) output.print(JSON.stringify(result.json));
  else if (result.exitCode === 0) output.print(text);
  else output.printError(text);
}

export function reportRefusal(message: string): CommandResult {
  return { exitCode: 1, text: message, json: { kind: 'refused', message } };
}

export function reportUnreadable(file: string): CommandResult {
  return reportRefusal(`${file}: cannot be read; check its name and permissions`);
}

export function reportCheck(
  faults: readonly Platform.DocumentFault[],
  scope: 'alone' | 'document',
): CommandResult {
  if (faults.length > 0) return reportFaults(faults);
  const hint = scope === 'alone' ? '; use --platform to check it against the other sections' : '';
  return { exitCode: 0, text: `no faults${hint}`, json: { kind: 'checked', scope, faults: [] } };
}

function reportFaults(faults: readonly Platform.DocumentFault[]): CommandResult {
  const text = faults.map(Platform.formatFault).join('\n');
  return { exitCode: 1, text, json: { kind: 'faults', faults } };
}

export function reportDifferences(
  revision: number,
  differences: readonly Platform.Difference[],
): CommandResult {
  const lines = differences.map(Platform.formatDifference);
  const text = lines.length === 0 ? `same as revision ${revision}` : lines.join('\n');
  return { exitCode: 0, text, json: { kind: 'differences', revision, differences } };
}

function reportConflict(
  section: string,
  outcome: Extract<Platform.EditOutcome, { readonly kind: 'conflict' }>,
): CommandResult {
  const { revision, author, differences } = outcome;
  const changedBy = author === '' ? '' : ` by ${author}`;
  const summary = `[${section}] was changed meanwhile${changedBy} (now revision ${revision}); nothing was written.`;
  const advice =
    'Differences from the stored text to yours; merge them and run "config put" again:';
  const lines = [summary, advice, ...differences.map(Platform.formatDifference)];
  return { exitCode: 1, text: lines.join('\n'), json: outcome };
}

export function reportEdit(section: string, outcome: Platform.EditOutcome): CommandResult {
  switch (outcome.kind) {
    case 'written':
      return { exitCode: 0, text: `[${section}] is revision ${outcome.revision}`, json: outcome };
    case 'unchanged':
      return {
        exitCode: 0,
        text: `[${section}] already has this text since revision ${outcome.revision}`,
        json: outcome,
      };
    case 'faults':
      return reportFaults(outcome.faults);
    case 'conflict':
      return reportConflict(section, outcome);
    case 'busy':
      return { exitCode: 1, text: outcome.message, json: outcome };
    case 'unavailable': {
      const text = `the platform does not answer, nothing was written: ${outcome.message}`;
      return { exitCode: 2, text, json: outcome };
    }
    case 'unknown': {
      const text = `it is unknown whether [${section}] was written: ${outcome.message}`;
      return { exitCode: 2, text, json: outcome };
    }
    default:
      throw new Error('unexpected outcome of an edit');
  }
}

export function reportSection(
  section: string,
  stored: Platform.StoredState | undefined,
): CommandResult {
  if (stored === undefined) {
    return reportRefusal(`[${section}] does not exist; create it with "config put"`);
  }
  const { revision, author, at, text } = stored;
  return { exitCode: 0, text, json: { kind: 'section', section, revision, author, at, text } };
}

export function reportHistory(
  section: string,
  history: readonly Platform.HistoryEntry[] | undefined,
): CommandResult {
  if (history === undefined) {
    const message = 'the history could not be read';
    return reportEdit(section, { kind: 'unavailable', message });
  }
  const entries = history.map(({ revision, at, author, text }) => ({
    revision,
    at,
    author,
    bytes: Buffer.byteLength(text, 'utf8'),
  }));
  const lines = entries.map(
    ({ revision, at, author, bytes }) => `${revision}  ${at}  ${author}  ${bytes} bytes`,
  );
  const text = lines.length === 0 ? `[${section}] has no history` : lines.join('\n');
  return { exitCode: 0, text, json: { kind: 'history', section, entries } };
}

export function reportKey(organisation: string, key: Kernel.NewKey): CommandResult {
  const record = JSON.stringify(key.record);
  const lines = [
    `API key of ${organisation}, shown only once:`,
    `  ${key.presented}`,
    `Add this to organisations.${organisation}.keys in its configuration section:`,
    `  ${record}`,
  ];
  const json = { kind: 'key', organisation, ...key };
  return { exitCode: 0, text: lines.join('\n'), json };
}
