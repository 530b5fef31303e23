/** docs/callers/ERRORS.md against the codes that callers can get. */
import { readdirSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';

import * as Callers from '@sequoiarill/plugin-callers';
import { expect } from 'earl';

import * as Pages from './pages';

const SOURCES = 'packages/sequoiarill-plugin-callers/src';
const LIST = 'faultCodes.ts';
const STREAM_HEADING = '## After a stream has begun';

function readParts(): { readonly table: string; readonly stream: string } {
  const [table = '', stream = ''] =
    Pages.readPage('docs/callers/ERRORS.md').text.split(STREAM_HEADING);
  return { table, stream };
}

function listTableCodes(): readonly string[] {
  const cells = [...readParts().table.matchAll(/^\| \d{3} +\|([^|]+)\|/gm)];
  return cells.flatMap(([, cell = '']) =>
    [...cell.matchAll(/`(\w+)`/g)].map(([, code = '']) => code),
  );
}

describe('error codes', () => {
  it('stand in the table once each, and no other does', () => {
    expect([...listTableCodes()].sort()).toEqual([...Callers.FAULT_CODES].sort());
  });

  it('of a failed response stand below the table', () => {
    const { stream } = readParts();
    const missing = Callers.RESPONSE_ERROR_CODES.filter((code) => !stream.includes(`\`${code}\``));
    expect(missing).toEqual([]);
  });

  // The type of a fault lets no code be answered that is not in the list; this is the other half.
  it('in the list are each used by the plug-in', () => {
    const names = readdirSync(path.join(Pages.ROOT, SOURCES)).filter(
      (name) => name.endsWith('.ts') && name !== LIST,
    );
    const code = names.map((name) => Pages.readPage(path.join(SOURCES, name)).text).join('\n');
    const listed = [...Callers.FAULT_CODES, ...Callers.RESPONSE_ERROR_CODES];
    expect(listed.filter((name) => !code.includes(`'${name}'`))).toEqual([]);
  });
});
