/** `sequoiarill config`: operators edit their sections of the configuration document. */
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

/** A user id without a name, as some machines have, is no reason to refuse an edit. */
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

/** Runs one command against the platform and closes the connection whatever happens. */
async function runConnected(
  options: CommonOptions,
  author: string,
  run: (editor: Platform.DocumentEditor) => Promise<CommandResult>,
): Promise<CommandResult> {
  const connection = ConfigConnection.openConnection(options);
  if (connection.kind === 'faults') {
    return ConfigOutput.reportProblem(connection.lines.join('\n'));
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

/** Reads a file named on the command line; a dash means standard input. */
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
  return runConnected(options, '', async (editor) => {
    const outcome = await editor.checkSection({ section, text, file });
    if (outcome.kind === 'unavailable') return ConfigOutput.reportEdit(section, outcome);
    return ConfigOutput.reportCheck(outcome.faults, 'document');
  });
}

function runGet(options: SectionOptions): Promise<CommandResult> {
  return runConnected(options, '', async (editor) => {
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
  return runConnected(options, getAuthor(options), async (editor) => {
    const outcome = await editor.putSection({ section, text, file, ...condition });
    return ConfigOutput.reportEdit(section, outcome);
  });
}

async function runDiff(file: string, options: SectionOptions): Promise<CommandResult> {
  const text = readText(file);
  if (text === undefined) return ConfigOutput.reportUnreadable(file);
  return runConnected(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit(options.section, document);
    const stored = Platform.getSection(document, options.section);
    const differences = Platform.compareTexts(stored.text, text);
    return ConfigOutput.reportDifferences(stored.revision, differences);
  });
}

function runHistory(options: SectionOptions): Promise<CommandResult> {
  return runConnected(options, '', async (editor) =>
    ConfigOutput.reportHistory(options.section, await editor.listHistory(options.section)),
  );
}

interface RevertOptions extends SectionOptions {
  readonly to: number;
}

function runRevert(options: RevertOptions): Promise<CommandResult> {
  const { section, to } = options;
  return runConnected(options, getAuthor(options), async (editor) => {
    const outcome = await editor.revertSection(section, to);
    if (outcome.kind !== 'noSuchRevision') return ConfigOutput.reportEdit(section, outcome);
    const hint = `see "sequoiarill config history --section ${section}"`;
    return ConfigOutput.reportProblem(`[${section}] has no revision ${to} in its history; ${hint}`);
  });
}

interface StatusOptions extends CommonOptions {
  readonly at?: string;
  readonly tokenFile?: string;
}

function runStatus(options: StatusOptions): Promise<CommandResult> {
  const addresses = options.at === undefined ? [] : options.at.split(',');
  return runConnected(options, '', async (editor) => {
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
    .option('--platform <ip:port>', 'gateway of the key-value service; several with commas')
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
  return command.option('--author <name>', 'who is shown in the history; the user by default');
}

type Run<Options> = (options: Options) => Promise<CommandResult>;
type RunWithFile<Options> = (file: string, options: Options) => Promise<CommandResult>;

/** Prints what a command without arguments decided. */
function createAction<Options extends CommonOptions>(
  output: Outputs.CommandOutput,
  run: Run<Options>,
) {
  return async (options: Options) =>
    ConfigOutput.printResult(output, await run(options), options.json);
}

function createFileAction<Options extends CommonOptions>(
  output: Outputs.CommandOutput,
  run: RunWithFile<Options>,
) {
  return async (file: string, options: Options) =>
    ConfigOutput.printResult(output, await run(file, options), options.json);
}

function addReadingCommands(config: Commander.Command, output: Outputs.CommandOutput): void {
  addConnectionOptions(config.command('check <file>'))
    .description('check a section; against the whole document when a platform is named')
    .option(
      '--section <name>',
      'name of the section; that of the file by default',
      parseSectionName,
    )
    .action(createFileAction(output, runCheck));
  addSectionOption(config.command('get'))
    .description('print a section')
    .action(createAction(output, runGet));
  addSectionOption(config.command('diff <file>'))
    .description('show what putting the file would change')
    .action(createFileAction(output, runDiff));
  addSectionOption(config.command('history'))
    .description('list the accepted texts of a section')
    .action(createAction(output, runHistory));
  addConnectionOptions(config.command('status'))
    .description('show the revision of every section, and which routers lag')
    .option('--at <addresses>', "IP:PORT of routers' listeners for operators, with commas")
    .option('--token-file <file>', 'file that holds the token of the listeners')
    .action(createAction(output, runStatus));
}

function addWritingCommands(config: Commander.Command, output: Outputs.CommandOutput): void {
  addAuthorOption(addSectionOption(config.command('put <file>')))
    .description('check a section and write it by compare-and-swap')
    .option('--if-revision <revision>', 'write only over this revision', parseRevision)
    .action(createFileAction(output, runPut));
  addAuthorOption(addSectionOption(config.command('revert')))
    .description('write an earlier text as a new revision')
    .requiredOption('--to <revision>', 'revision of the earlier text', parseRevision)
    .action(createAction(output, runRevert));
  config
    .command('key')
    .description('make an API key; the secret is shown this once')
    .requiredOption('--organisation <name>', 'organisation it is for')
    .option('--json', 'print JSON')
    .action(createAction(output, runKey));
}

/** The `config` commands; tests give an output of their own. */
export function createConfigCommand(
  output: Outputs.CommandOutput = Outputs.createProcessOutput(),
): Commander.Command {
  const config = new Commander.Command('config');
  config.description('edit sections of the configuration document');
  addReadingCommands(config, output);
  addWritingCommands(config, output);
  return config;
}
