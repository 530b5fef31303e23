import { describe, it } from 'node:test';

import type { Plugin } from '@sequoiarill/types';
import { expect } from 'earl';
import * as Zod from 'zod';

import * as SettingsFiles from '../settings';

const plugin: Plugin = {
  name: 'callers',
  settingsSchema: Zod.strictObject({ listen: SettingsFiles.addressSchema }),
  provides: [],
  needs: [],
  events: [],
  createInstance: () => ({ dumpState: () => ({}) }),
};

const MEGABYTES_HINT = 'use a number of megabytes, 1 or more, such as 186, or leave it empty';
const PROCESS = '[process]\nname = router-1\nzone = z1\nregion = r1\n';

function listFaultLines(text: string): readonly string[] {
  const result = SettingsFiles.parseSettings(text, 'router.ini', [plugin]);
  return result.kind === 'faults' ? result.faults.map(SettingsFiles.formatFault) : [];
}

describe('settings file', () => {
  it('passes each plug-in its own validated section', () => {
    const text = `${PROCESS}[callers]\nlisten = 127.0.0.1:8080\n`;
    const result = SettingsFiles.parseSettings(text, 'router.ini', [plugin]);
    const section = result.kind === 'settings' ? result.settings.plugins.get('callers') : undefined;
    expect(section).toEqual({ listen: '127.0.0.1:8080' });
  });

  it('takes an empty size of memory as absent, and says what another one must be', () => {
    // Guards against a template whose placeholder is empty and keeps a router from starting.
    const listFaults = (value: string) =>
      listFaultLines(`${PROCESS}memoryMb = ${value}\n[callers]\nlisten = 127.0.0.1:8080\n`);
    expect(['', '186'].flatMap(listFaults)).toEqual([]);
    const fault = `router.ini: [process] memoryMb: ${MEGABYTES_HINT}`;
    expect(['much', '-1', '0'].flatMap(listFaults)).toEqual([fault, fault, fault]);
  });

  it('reports an unknown key, an unknown section and an invalid value together', () => {
    const lines = listFaultLines(
      `${PROCESS}[callers]\nlisten = nowhere\nport = 1\n[mistake]\na = 1\n`,
    );
    expect(lines).toEqual([
      'router.ini: [callers] listen: use IP:port, such as 127.0.0.1:8080',
      'router.ini: [callers] port: unknown key; remove it',
      'router.ini: [mistake]: unknown section; known are process, telemetry, callers',
    ]);
  });
});
