/**
 * Settings of one process: an INI file with sections for the process, for telemetry and for each
 * plug-in.
 */
import { isIP } from 'node:net';

import type { Plugin, ProcessSettings } from '@sequoiarill/types';
import * as Ini from 'ini';
import * as Zod from 'zod';

const MEGABYTES_HINT = 'use a number of megabytes, 1 or more, such as 186, or leave it empty';

/**
 * Schema of an optional number of megabytes. An empty value counts as absent, since the placeholders of a
 * template may be empty.
 */
export const megabytesSchema = Zod.preprocess(
  (value) => (value === '' ? undefined : value),
  Zod.coerce.number(MEGABYTES_HINT).min(1, MEGABYTES_HINT).optional(),
);

const COUNT_HINT = 'use a whole number, 1 or more, such as 2048, or leave it empty';

/** Schema of an optional number of things. An empty value counts as absent. */
export const countSchema = Zod.preprocess(
  (value) => (value === '' ? undefined : value),
  Zod.coerce.number(COUNT_HINT).int(COUNT_HINT).min(1, COUNT_HINT).optional(),
);

const ADDRESS_HINT = 'use IP:port, such as 127.0.0.1:8080';

/** Section `[process]`. */
export const processSchema = Zod.strictObject({
  name: Zod.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'use lower-case letters, digits and dashes'),
  zone: Zod.string().min(1),
  region: Zod.string().min(1),
  /** Memory of the VM; if absent, limits that depend on it have fixed defaults. */
  memoryMb: megabytesSchema,
  /** File descriptors that this process may open; if absent, limits that depend on them have fixed defaults. */
  maxDescriptors: countSchema,
});

/** Section `[telemetry]`. */
export const telemetrySchema = Zod.strictObject({
  logLevel: Zod.enum(['debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
  /** `host:port` of a StatsD sink; if absent, no metrics are sent. */
  metricsSink: Zod.string().optional(),
  /** `IP:port` of the metrics page; if absent, the page is not served. */
  metricsListen: Zod.string().refine(isAddress, ADDRESS_HINT).optional(),
});

export type TelemetrySettings = Readonly<Zod.infer<typeof telemetrySchema>>;

export interface Settings {
  readonly process: ProcessSettings;
  readonly telemetry: TelemetrySettings;
  readonly plugins: ReadonlyMap<string, unknown>;
}

/** One error in a settings file; all errors of a file are reported together. */
export interface SettingsFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly reason: string;
}

export type SettingsResult =
  | { readonly kind: 'settings'; readonly settings: Settings }
  | { readonly kind: 'faults'; readonly faults: readonly SettingsFault[] };

const MAX_PORT = 65_535;

/**
 * Whether the value is an `IP:port` that can stand in a URL: the port in decimal digits, an IPv6 address in brackets and
 * without a zone. Host names are invalid, since routers address each other by IP.
 */
export function isAddress(value: string): boolean {
  const [, inBrackets, plain, port] = /^(?:\[([^\]%]*)\]|([^:]*)):(\d{1,5})$/.exec(value) ?? [];
  const isKnownHost = inBrackets === undefined ? isIP(plain ?? '') === 4 : isIP(inBrackets) === 6;
  return isKnownHost && Number(port) <= MAX_PORT;
}

/** Schema of an `IP:port` setting of a plug-in. */
export const addressSchema = Zod.string().refine(isAddress, ADDRESS_HINT);

/** Schema of a comma-separated list setting of a plug-in. */
export const listSchema = Zod.string().transform((text) =>
  text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== ''),
);

/**
 * Schema of a boolean setting; accepts strings as well as the booleans that the INI parser returns.
 */
export const booleanSchema = Zod.union([
  Zod.boolean(),
  Zod.enum(['true', 'false']).transform((text) => text === 'true'),
]);

/**
 * Validates a complete settings file and lists all its faults, so that an operator can fix them
 * together.
 */
export function parseSettings(
  text: string,
  file: string,
  plugins: readonly Plugin[],
): SettingsResult {
  const rawSections = Ini.parse(text) as Readonly<Record<string, unknown>>;
  const faults: SettingsFault[] = [];
  const schemas = new Map<string, Zod.ZodType>([
    ['process', processSchema],
    ['telemetry', telemetrySchema],
    ...plugins.map((plugin): [string, Zod.ZodType] => [plugin.name, plugin.settingsSchema]),
  ]);
  const parsed = new Map<string, unknown>();
  for (const [section, schema] of schemas) {
    const result = schema.safeParse(rawSections[section] ?? {});
    if (result.success) parsed.set(section, result.data);
    else faults.push(...result.error.issues.flatMap((issue) => listFaults(file, section, issue)));
  }
  for (const section of Object.keys(rawSections).filter((name) => !schemas.has(name))) {
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
  const location = fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`;
  return `${fault.file}: ${location}: ${fault.reason}`;
}
