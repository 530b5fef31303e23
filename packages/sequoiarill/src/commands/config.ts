/** `sequoiarill config`: operators edit their sections of the configuration document. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import path from 'node:path';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import * as Commander from 'commander';

import * as ConfigConnection from './configConnection';
import type { ConnectionOptions } from './configConnection';
import * as ConfigOutput from './configOutput';
import type { CommandResult } from './configOutput';

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
): Promise<void> {
  const connection = ConfigConnection.openConnection(options);
  if (connection.kind === 'faults') {
    ConfigOutput.printResult(ConfigOutput.reportProblem(connection.lines.join('\n')), options.json);
    return;
  }
  const editor = Platform.createDocumentEditor({
    store: connection.store,
    clock: Kernel.createSystemClock(),
    nextRandom: Math.random,
    author,
  });
  try {
    ConfigOutput.printResult(await run(editor), options.json);
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

async function runWithFile(
  file: string,
  options: SectionOptions,
  run: (editor: Platform.DocumentEditor, text: string) => Promise<CommandResult>,
): Promise<void> {
  const text = readText(file);
  if (text === undefined) {
    ConfigOutput.printResult(ConfigOutput.reportUnreadable(file), options.json);
    return;
  }
  await runConnected(options, getAuthor(options), (editor) => run(editor, text));
}

async function runCheck(file: string, options: Partial<SectionOptions>): Promise<void> {
  const text = readText(file);
  if (text === undefined) {
    ConfigOutput.printResult(ConfigOutput.reportUnreadable(file), options.json);
    return;
  }
  const section = options.section ?? path.basename(file, path.extname(file));
  if (options.platform === undefined && options.settings === undefined) {
    const faults = Platform.checkAlone(text, file, section);
    ConfigOutput.printResult(ConfigOutput.reportCheck(faults, 'alone'), options.json);
    return;
  }
  await runConnected(options, '', async (editor) => {
    const outcome = await editor.checkSection({ section, text, file });
    if (outcome.kind === 'unavailable') return ConfigOutput.reportEdit(section, outcome);
    return ConfigOutput.reportCheck(outcome.faults, 'document');
  });
}

async function runGet(options: SectionOptions): Promise<void> {
  await runConnected(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit(options.section, document);
    return ConfigOutput.reportSection(options.section, document.sections.get(options.section));
  });
}

interface PutOptions extends SectionOptions {
  readonly ifRevision?: number;
}

async function runPut(file: string, options: PutOptions): Promise<void> {
  const { section, ifRevision } = options;
  const condition = ifRevision === undefined ? {} : { ifRevision };
  await runWithFile(file, options, async (editor, text) => {
    const outcome = await editor.putSection({ section, text, file, ...condition });
    return ConfigOutput.reportEdit(section, outcome);
  });
}

async function runDiff(file: string, options: SectionOptions): Promise<void> {
  await runWithFile(file, options, async (editor, text) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit(options.section, document);
    const stored = Platform.getSection(document, options.section);
    const differences = Platform.compareTexts(stored.text, text);
    return ConfigOutput.reportDifferences(stored.revision, differences);
  });
}

async function runHistory(options: SectionOptions): Promise<void> {
  await runConnected(options, '', async (editor) =>
    ConfigOutput.reportHistory(options.section, await editor.listHistory(options.section)),
  );
}

interface RevertOptions extends SectionOptions {
  readonly to: number;
}

async function runRevert(options: RevertOptions): Promise<void> {
  const { section, to } = options;
  await runConnected(options, getAuthor(options), async (editor) => {
    const outcome = await editor.revertSection(section, to);
    if (outcome.kind !== 'noSuchRevision') return ConfigOutput.reportEdit(section, outcome);
    const hint = `see "sequoiarill config history --section ${section}"`;
    return ConfigOutput.reportProblem(`[${section}] has no revision ${to} in its history; ${hint}`);
  });
}

async function runStatus(options: CommonOptions): Promise<void> {
  await runConnected(options, '', async (editor) => {
    const document = await editor.readDocument();
    if (document.kind === 'unavailable') return ConfigOutput.reportEdit('', document);
    return ConfigOutput.reportStatus(document);
  });
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

function addReadingCommands(config: Commander.Command): void {
  addConnectionOptions(config.command('check <file>'))
    .description('check a section; against the whole document when a platform is named')
    .option(
      '--section <name>',
      'name of the section; that of the file by default',
      parseSectionName,
    )
    .action(runCheck);
  addSectionOption(config.command('get')).description('print a section').action(runGet);
  addSectionOption(config.command('diff <file>'))
    .description('show what putting the file would change')
    .action(runDiff);
  addSectionOption(config.command('history'))
    .description('list the accepted texts of a section')
    .action(runHistory);
  addConnectionOptions(config.command('status'))
    .description('show the revision of every section in the platform')
    .action(runStatus);
}

function addWritingCommands(config: Commander.Command): void {
  addAuthorOption(addSectionOption(config.command('put <file>')))
    .description('check a section and write it by compare-and-swap')
    .option('--if-revision <revision>', 'write only over this revision', parseRevision)
    .action(runPut);
  addAuthorOption(addSectionOption(config.command('revert')))
    .description('write an earlier text as a new revision')
    .requiredOption('--to <revision>', 'revision of the earlier text', parseRevision)
    .action(runRevert);
  config
    .command('key')
    .description('make an API key; the secret is shown this once')
    .requiredOption('--organisation <name>', 'organisation it is for')
    .option('--json', 'print JSON')
    .action((options: { readonly organisation: string; readonly json?: boolean }) => {
      const result = ConfigOutput.reportKey(options.organisation, Platform.createKeyRecord());
      ConfigOutput.printResult(result, options.json);
    });
}

export function createConfigCommand(): Commander.Command {
  const config = new Commander.Command('config');
  config.description('edit sections of the configuration document');
  addReadingCommands(config);
  addWritingCommands(config);
  return config;
}
