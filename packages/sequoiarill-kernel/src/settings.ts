/** Settings of one process: an INI file with one section for the process and one a plug-in. */
import { isIP } from 'node:net';

import type { Plugin, ProcessSettings } from '@sequoiarill/types';
import * as Ini from 'ini';
import * as Zod from 'zod';

const ADDRESS_HINT = 'use IP:port, such as 127.0.0.1:8080';

/** Section `[process]`. */
export const processSchema = Zod.strictObject({
  name: Zod.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'use lower-case letters, digits and dashes'),
  zone: Zod.string().min(1),
  region: Zod.string().min(1),
});

/** Section `[telemetry]`. */
export const telemetrySchema = Zod.strictObject({
  logLevel: Zod.enum(['debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
  /** `host:port` of a StatsD sink; no metrics are sent without it. */
  metricsSink: Zod.string().optional(),
  /** `IP:port` where metrics are served as text; not served without it. */
  metricsListen: Zod.string().refine(isAddress, ADDRESS_HINT).optional(),
});

export type TelemetrySettings = Readonly<Zod.infer<typeof telemetrySchema>>;

export interface Settings {
  readonly process: ProcessSettings;
  readonly telemetry: TelemetrySettings;
  readonly plugins: ReadonlyMap<string, unknown>;
}

/** One thing wrong with a settings file; all are reported at once. */
export interface SettingsFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly reason: string;
}

export type SettingsResult =
  | { readonly kind: 'settings'; readonly settings: Settings }
  | { readonly kind: 'faults'; readonly faults: readonly SettingsFault[] };

const PORT_MAX = 65_535;

/** A `host:port` by IP number; names are refused, since routers reach each other by number. */
export function isAddress(value: string): boolean {
  const separator = value.lastIndexOf(':');
  const host = value.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
  const port = Number(value.slice(separator + 1));
  return isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= PORT_MAX;
}

/** Schema of an address setting, for plug-ins. */
export const addressSchema = Zod.string().refine(isAddress, ADDRESS_HINT);

/** Schema of a comma-separated list setting, for plug-ins. */
export const listSchema = Zod.string().transform((text) =>
  text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== ''),
);

/** Schema of a yes-or-no setting; INI gives real booleans for `true` and `false`. */
export const booleanSchema = Zod.union([
  Zod.boolean(),
  Zod.enum(['true', 'false']).transform((text) => text === 'true'),
]);

/** Checks a whole file and lists every fault in it, so that an operator mends it in one go. */
export function parseSettings(
  text: string,
  file: string,
  plugins: readonly Plugin[],
): SettingsResult {
  const raw = Ini.parse(text) as Readonly<Record<string, unknown>>;
  const faults: SettingsFault[] = [];
  const schemas = new Map<string, Zod.ZodType>([
    ['process', processSchema],
    ['telemetry', telemetrySchema],
    ...plugins.map((plugin): [string, Zod.ZodType] => [plugin.name, plugin.settingsSchema]),
  ]);
  const parsed = new Map<string, unknown>();
  for (const [section, schema] of schemas) {
    const result = schema.safeParse(raw[section] ?? {});
    if (result.success) parsed.set(section, result.data);
    else faults.push(...result.error.issues.flatMap((issue) => listFaults(file, section, issue)));
  }
  for (const section of Object.keys(raw).filter((name) => !schemas.has(name))) {
    const reason = `unknown section; known are ${[...schemas.keys()].join(', ')}`;
    faults.push({ file, section, key: '', reason });
  }
  if (faults.length > 0) return { kind: 'faults', faults };
  const process = parsed.get('process') as ProcessSettings;
  const telemetry = parsed.get('telemetry') as TelemetrySettings;
  return { kind: 'settings', settings: { process, telemetry, plugins: parsed } };
}

function listFaults(file: string, section: string, issue: Zod.core.$ZodIssue): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ file, section, key, reason: 'unknown key; remove it' }));
  }
  const key = issue.path.join('.');
  return [{ file, section, key, reason: issue.message }];
}

export function formatFault(fault: SettingsFault): string {
  if (fault.section === '') return `${fault.file}: ${fault.reason}`;
  const place = fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`;
  return `${fault.file}: ${place}: ${fault.reason}`;
}
