/**
 * The `sequoiarill config` commands, with which operators edit sections of the configuration
 * document.
 */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import path from 'node:path';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import * as Commander from 'commander';

import * as Outputs from './commandOutput';
import * as ConfigConnection from './configConnection';
import type { ConnectionOptions } from './configConnection';
import * as ConfigOutput from './configOutput';
import type { CommandResult } from './configOutput';
import * as ConfigStatus from './configStatus';
import * as OperatorsClient from './operatorsClient';

interface CommonOptions extends ConnectionOptions {
  readonly json?: boolean;
}

interface SectionOptions extends CommonOptions {
  readonly section: string;
  readonly author?: string;
}

/** Falls back to `unknown`, since the user id has no name on some machines. */
function getAuthor(options: SectionOptions): string {
  if (options.author !== undefined) return options.author;
  try {
    return userInfo().username;
  } catch {
    return 'unknown';
  }
}

function parseRevision(text: string): number {
  const revision = Number(text);
  if (Number.isInteger(revision) && revision >= 0) return revision;
  throw new Commander.InvalidArgumentError('use a revision as "config history" shows it');
}

function parseSectionName(text: string): string {
  const parsed = Platform.sectionNameSchema.safeParse(text);
  if (parsed.success) return parsed.data;
  throw new Commander.InvalidArgumentError(parsed.error.issues[0]?.message ?? 'bad name');
}

/** Runs one command with an editor connected to the platform, and always closes the connection. */
async function runWithEditor(
  options: CommonOptions,
  author: string,
  run: (editor: Platform.DocumentEditor) => Promise<CommandResult>,
): Promise<CommandResult> {
  const connection = ConfigConnection.openConnection(options);
  if (connection.kind === 'faults') {
    return ConfigOutput.reportRefusal(connection.lines.join('\n'));
  }
  const editor = Platform.createDocumentEditor({
    store: connection.store,
    clock: Kernel.createSystemClock(),
    nextRandom: Math.random,
    author,
  });
  try {
    return await run(editor);
  } finally {
    await connection.close();
  }
}

/** Reads a file, or standard input if the name is `-`; undefined if it cannot be read. */
function readText(file: string): string | undefined {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch {
    return undefined;
  }
}

async function runCheck(file: string, options: Partial<SectionOptions>): Promise<CommandResult> {
  const text = readText(file);
  if (text === undefined) return ConfigOutput.reportUnreadable(file);
  const section = options.section ?? path.basename(file, path.extname(file));
  if (options.platform === undefined && options.settings === undefined) {
    return ConfigOutput.reportCheck(Platform.checkStandalone(text, file, section), 'alone');
  }
  return runWithEditor(options, '', async (editor) => {
    const outcome = await editor.checkSection({ section, text, file });
    if (outcome.kind === 'unavailable') return ConfigOutput.reportEdit(section, outcome);
    return ConfigOutput.reportCheck(outcome.faults, 'document');
  });
}

function runGet(options: SectionOptions): Promise<CommandResult> {
  return runWithEditor(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit(options.section, document);
    return ConfigOutput.reportSection(options.section, document.sections.get(options.section));
  });
}

interface PutOptions extends SectionOptions {
  readonly ifRevision?: number;
}

async function runPut(file: string, options: PutOptions): Promise<CommandResult> {
  const text = readText(file);
  if (text === undefined) return ConfigOutput.reportUnreadable(file);
  const { section, ifRevision } = options;
  const condition = ifRevision === undefined ? {} : { ifRevision };
  return runWithEditor(options, getAuthor(options), async (editor) => {
    const outcome = await editor.putSection({ section, text, file, ...condition });
    return ConfigOutput.reportEdit(section, outcome);
  });
}

async function runDiff(file: string, options: SectionOptions): Promise<CommandResult> {
  const text = readText(file);
  if (text === undefined) return ConfigOutput.reportUnreadable(file);
  return runWithEditor(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit(options.section, document);
    const stored = Platform.getSection(document, options.section);
    const differences = Platform.compareTexts(stored.text, text);
    return ConfigOutput.reportDifferences(stored.revision, differences);
  });
}

function runHistory(options: SectionOptions): Promise<CommandResult> {
  return runWithEditor(options, '', async (editor) =>
    ConfigOutput.reportHistory(options.section, await editor.listHistory(options.section)),
  );
}

interface RevertOptions extends SectionOptions {
  readonly to: number;
}

function runRevert(options: RevertOptions): Promise<CommandResult> {
  const { section, to } = options;
  return runWithEditor(options, getAuthor(options), async (editor) => {
    const outcome = await editor.revertSection(section, to);
    if (outcome.kind !== 'noSuchRevision') return ConfigOutput.reportEdit(section, outcome);
    const hint = `see "sequoiarill config history --section ${section}"`;
    return ConfigOutput.reportRefusal(`[${section}] has no revision ${to} in its history; ${hint}`);
  });
}

interface StatusOptions extends CommonOptions {
  readonly at?: string;
  readonly tokenFile?: string;
}

function runStatus(options: StatusOptions): Promise<CommandResult> {
  const addresses = options.at === undefined ? [] : options.at.split(',');
  return runWithEditor(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit('', document);
    const token = OperatorsClient.loadToken(options.tokenFile);
    const routers = await ConfigStatus.readRouters(document, addresses, token);
    return ConfigStatus.reportStatus(document, routers);
  });
}

interface KeyOptions extends CommonOptions {
  readonly organisation: string;
}

async function runKey(options: KeyOptions): Promise<CommandResult> {
  return ConfigOutput.reportKey(options.organisation, Kernel.createKeyRecord());
}

function addConnectionOptions(command: Commander.Command): Commander.Command {
  return command
    .option(
      '--platform <ip:port>',
      'gateway of the key-value service; separate several with commas',
    )
    .option('--key-prefix <prefix>', 'prefix of all keys', ConfigConnection.DEFAULT_KEY_PREFIX)
    .option('--settings <file>', "a router's settings file; its [platform] section is used")
    .option('--json', 'print JSON');
}

function addSectionOption(command: Commander.Command): Commander.Command {
  return addConnectionOptions(command).requiredOption(
    '--section <name>',
    "name of the team's section",
    parseSectionName,
  );
}

function addAuthorOption(command: Commander.Command): Commander.Command {
  return command.option(
    '--author <name>',
    'author recorded in the history; defaults to the current user',
  );
}

type CommandFunction<Options> = (options: Options) => Promise<CommandResult>;
type FileCommandFunction<Options> = (file: string, options: Options) => Promise<CommandResult>;

/** Creates the action of a command without arguments, which prints the result. */
function createAction<Options extends CommonOptions>(
  output: Outputs.CommandOutput,
  run: CommandFunction<Options>,
) {
  return async (options: Options) =>
    ConfigOutput.printResult(output, await run(options), options.json);
}

/** Creates the action of a command with a file argument, which prints the result. */
function createFileAction<Options extends CommonOptions>(
  output: Outputs.CommandOutput,
  run: FileCommandFunction<Options>,
) {
  return async (file: string, options: Options) =>
    ConfigOutput.printResult(output, await run(file, options), options.json);
}

function addReadCommands(config: Commander.Command, output: Outputs.CommandOutput): void {
  addConnectionOptions(config.command('check <file>'))
    .description('validate a section; with a platform given, also against the other sections')
    .option(
      '--section <name>',
      'name of the section; defaults to the file name without its extension',
      parseSectionName,
    )
    .action(createFileAction(output, runCheck));
  addSectionOption(config.command('get'))
    .description('print a section')
    .action(createAction(output, runGet));
  addSectionOption(config.command('diff <file>'))
    .description('show the changes that "config put" of the file would make')
    .action(createFileAction(output, runDiff));
  addSectionOption(config.command('history'))
    .description('list the accepted revisions of a section')
    .action(createAction(output, runHistory));
  addConnectionOptions(config.command('status'))
    .description('show the revision of every section, and the routers that lag behind')
    .option('--at <addresses>', 'IP:PORT of the operator listeners of routers, separated by commas')
    .option('--token-file <file>', 'file that contains the token of the listeners')
    .action(createAction(output, runStatus));
}

function addWriteCommands(config: Commander.Command, output: Outputs.CommandOutput): void {
  addAuthorOption(addSectionOption(config.command('put <file>')))
    .description('validate a section and write it with compare-and-swap')
    .option(
      '--if-revision <revision>',
      'write only if the section has this revision',
      parseRevision,
    )
    .action(createFileAction(output, runPut));
  addAuthorOption(addSectionOption(config.command('revert')))
    .description('restore an earlier revision as a new one')
    .requiredOption('--to <revision>', 'revision to restore', parseRevision)
    .action(createAction(output, runRevert));
  config
    .command('key')
    .description('create an API key; its secret is shown only once')
    .requiredOption('--organisation <name>', 'organisation that the key is for')
    .option('--json', 'print JSON')
    .action(createAction(output, runKey));
}

/** Creates the `config` commands; tests pass their own output. */
export function createConfigCommand(
  output: Outputs.CommandOutput = Outputs.createProcessOutput(),
): Commander.Command {
  const config = new Commander.Command('config');
  config.description('edit sections of the configuration document');
  addReadCommands(config, output);
  addWriteCommands(config, output);
  return config;
}
