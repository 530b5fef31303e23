/** Compares docs/callers/ERRORS.md with the error codes that callers can receive. */
import { readdirSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';

import * as Callers from '@sequoiarill/plugin-callers';
import { expect } from 'earl';

import * as Pages from './pages';

const CALLERS_SOURCE_DIRECTORY = 'packages/sequoiarill-plugin-callers/src';
const CODE_LIST_FILE = 'faultCodes.ts';
const STREAM_HEADING = '## After a stream has begun';

function readErrorPage(): { readonly table: string; readonly stream: string } {
  const [table = '', stream = ''] =
    Pages.readPage('docs/callers/ERRORS.md').text.split(STREAM_HEADING);
  return { table, stream };
}

function listTableCodes(): readonly string[] {
  const cells = [...readErrorPage().table.matchAll(/^\| \d{3} +\|([^|]+)\|/gm)];
  return cells.flatMap(([, cell = '']) =>
    [...cell.matchAll(/`(\w+)`/g)].map(([, code = '']) => code),
  );
}

describe('error codes', () => {
  it('are each listed in the table once, without others', () => {
    expect([...listTableCodes()].sort()).toEqual([...Callers.FAULT_CODES].sort());
  });

  it('of failed responses are listed below the table', () => {
    const { stream } = readErrorPage();
    const missing = Callers.RESPONSE_ERROR_CODES.filter((code) => !stream.includes(`\`${code}\``));
    expect(missing).toEqual([]);
  });

  // The type system ensures that every code in use is listed; this test checks the opposite.
  it('are all used by the plug-in', () => {
    const names = readdirSync(path.join(Pages.ROOT, CALLERS_SOURCE_DIRECTORY)).filter(
      (name) => name.endsWith('.ts') && name !== CODE_LIST_FILE,
    );
    const code = names
      .map((name) => Pages.readPage(path.join(CALLERS_SOURCE_DIRECTORY, name)).text)
      .join('\n');
    const listed = [...Callers.FAULT_CODES, ...Callers.RESPONSE_ERROR_CODES];
    expect(listed.filter((name) => !code.includes(`'${name}'`))).toEqual([]);
  });
});
