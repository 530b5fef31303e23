/** Validates the example files against the schemas. */
import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import * as Platform from '@sequoiarill/plugin-platform';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as Routers from '../router';
import * as Pages from './pages';

const EXAMPLE_FILE = 'examples/router.ini';

/** Lists `section.key` for every key in the example, including those that are commented out. */
function listExampleKeys(): readonly string[] {
  let section = '';
  return Pages.readPage(EXAMPLE_FILE)
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
  it('contain every settings key of a router exactly once', () => {
    expect([...listExampleKeys()].sort()).toEqual([...listSchemaKeys()].sort());
  });

  it('contain valid settings', () => {
    expect(Routers.parseSettings(Pages.readPage(EXAMPLE_FILE).text, EXAMPLE_FILE).kind).toEqual(
      'settings',
    );
  });

  it('contain a valid configuration section', () => {
    const { file, text } = Pages.readPage('examples/fit.json');
    expect(Platform.checkStandalone(text, file, 'fit')).toEqual([]);
  });
});
