/** The examples against the schemas that check them. */
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as Routers from '../router';
import * as Pages from './pages';

const EXAMPLE = 'examples/router.ini';

/** `section.key` of every line that sets a key, commented out or not. */
function listExampleKeys(): readonly string[] {
  let section = '';
  return Pages.readPage(EXAMPLE)
    .text.split('\n')
    .flatMap((line) => {
      section = /^\[(.+)\]$/.exec(line)?.[1] ?? section;
      const key = /^(?:; ?)?([A-Za-z]+) ?=/.exec(line)?.[1];
      return key === undefined ? [] : [`${section}.${key}`];
    });
}

function listSchemaKeys(): readonly string[] {
  const schemas: readonly (readonly [string, Zod.ZodType])[] = [
    ['process', Kernel.processSchema],
    ['telemetry', Kernel.telemetrySchema],
    ...Kernel.listPlugins().map((plugin) => [plugin.name, plugin.settingsSchema] as const),
  ];
  return schemas.flatMap(([section, schema]) => {
    const { properties = {} } = Zod.toJSONSchema(schema, { io: 'input' });
    return Object.keys(properties).map((key) => `${section}.${key}`);
  });
}

describe('examples', () => {
  it('show every key of a router once, and no other', () => {
    expect([...listExampleKeys()].sort()).toEqual([...listSchemaKeys()].sort());
  });

  it('hold settings without fault', () => {
    expect(Routers.parseSettings(Pages.readPage(EXAMPLE).text, EXAMPLE).kind).toEqual('settings');
  });

  it('hold a section of the configuration without fault', () => {
    const { file, text } = Pages.readPage('examples/fit.json');
    expect(Platform.checkStandalone(text, file, 'fit')).toEqual([]);
  });
});
