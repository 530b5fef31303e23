/** Reads the INI file of one stand-in and reports all of its errors together. */
import { readFileSync } from 'node:fs';

import * as Ini from 'ini';
import type { ZodType, core } from 'zod';

export type SettingsFileResult =
  | { readonly kind: 'settings'; readonly settings: Readonly<Record<string, unknown>> }
  | { readonly kind: 'faults'; readonly faults: readonly string[] };

export function parseSettingsFile(
  text: string,
  file: string,
  section: string,
  schema: ZodType,
): SettingsFileResult {
  const raw = Ini.parse(text) as Readonly<Record<string, unknown>>;
  const faults = Object.keys(raw)
    .filter((name) => name !== section)
    .map((name) => `${file}: [${name}]: unknown section; put every key under [${section}]`);
  const result = schema.safeParse(raw[section] ?? {});
  if (!result.success) {
    faults.push(...result.error.issues.flatMap((issue) => listFaults(file, section, issue)));
  }
  if (!result.success || faults.length > 0) return { kind: 'faults', faults };
  return { kind: 'settings', settings: result.data as Readonly<Record<string, unknown>> };
}

function listFaults(file: string, section: string, issue: core.$ZodIssue): readonly string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => `${file}: [${section}] ${key}: unknown key; remove it`);
  }
  return [`${file}: [${section}] ${issue.path.join('.')}: ${issue.message}`];
}

/** Without a file, every setting has its default. */
export function loadSettingsFile(
  file: string | undefined,
  section: string,
  schema: ZodType,
): SettingsFileResult {
  if (file === undefined) return { kind: 'settings', settings: {} };
  try {
    return parseSettingsFile(readFileSync(file, 'utf8'), file, section, schema);
  } catch (error) {
    return { kind: 'faults', faults: [`${file}: cannot be read: ${String(error)}`] };
  }
}
