/** Compares the commands and options in the documentation with the command-line interface. */
import { describe, it } from 'node:test';

import type { Command } from 'commander';
import { expect } from 'earl';

import * as Cli from '../cli';
import * as Pages from './pages';

interface Usage {
  readonly file: string;
  readonly words: readonly string[];
}

/**
 * Lists the arguments of each documented `sequoiarill` command, excluding `sequoiarill-standin`.
 */
function listUsages(): readonly Usage[] {
  return Pages.listPages().flatMap((page) =>
    Pages.listCode(page).flatMap((code) => {
      const match = /^(?:npx )?sequoiarill (.+)$/.exec(code.trim());
      const words = (match?.[1] ?? '').replace(/\s(?:&|#|\|).*$/, '').split(/\s+/);
      return match === null ? [] : [{ file: page.file, words }];
    }),
  );
}

function findCommand(command: Command, words: readonly string[]): [Command, readonly string[]] {
  const [first, ...rest] = words;
  const child = command.commands.find((candidate) => candidate.name() === first);
  return child === undefined ? [command, words] : findCommand(child, rest);
}

function listOptions(command: Command): readonly string[] {
  return command.options.map((option) => option.long ?? '');
}

function listCommands(command: Command): readonly Command[] {
  return [command, ...command.commands.flatMap(listCommands)];
}

function formatPath(command: Command): string {
  const { parent } = command;
  return parent === null ? command.name() : `${formatPath(parent)} ${command.name()}`;
}

/** Lists the words that the command line would reject. */
function listUnknownWords({ file, words }: Usage): readonly string[] {
  const [command, rest] = findCommand(Cli.createProgram(), words);
  const given = rest.filter((word) => word.startsWith('-') && word !== '-');
  const unknown = given.filter((word) => !listOptions(command).includes(word));
  const isGroup = command.commands.length > 0;
  const faults = isGroup && rest.length > 0 ? rest.slice(0, 1) : unknown;
  return faults.map((word) => `${file}: "sequoiarill ${words.join(' ')}": no such ${word}`);
}

describe('commands in the documentation', () => {
  it('exist with all documented options', () => {
    const usages = listUsages();
    expect(usages.length).toBeGreaterThan(10);
    expect(usages.flatMap(listUnknownWords)).toEqual([]);
  });

  it('have every option that is documented without its command', () => {
    const known = new Set(listCommands(Cli.createProgram()).flatMap(listOptions));
    const faults = Pages.listPages().flatMap((page) => {
      const options = Pages.listCode(page).filter((code) => /^--[a-z]/.test(code));
      const unknown = options.filter((code) => !known.has(code.split(' ')[0] ?? ''));
      return unknown.map((code) => `${page.file}: ${code}`);
    });
    expect(faults).toEqual([]);
  });

  it('include every command', () => {
    const named = new Set(
      listUsages().map(({ words }) => formatPath(findCommand(Cli.createProgram(), words)[0])),
    );
    const commands = listCommands(Cli.createProgram()).filter(
      (command) => command.commands.length === 0,
    );
    expect(commands.length).toBeGreaterThan(10);
    expect(commands.map(formatPath).filter((name) => !named.has(name))).toEqual([]);
  });
});
