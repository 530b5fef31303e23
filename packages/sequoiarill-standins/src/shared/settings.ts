/** Schemas shared by the settings of all stand-ins, which come from INI files or from tests. */
import { isIP } from 'node:net';

import * as Zod from 'zod';

const PORT_MAX = 65_535;

function isListenAddress(value: string): boolean {
  const separator = value.lastIndexOf(':');
  const port = Number(value.slice(separator + 1));
  return isIP(value.slice(0, separator)) !== 0 && Number.isInteger(port) && port <= PORT_MAX;
}

/** `IP:port`; port 0 lets the operating system choose one. */
export const listenSchema = Zod.string()
  .refine(isListenAddress, 'use IP:port, such as 127.0.0.1:0')
  .default('127.0.0.1:0');

/** An integer of at least `minimum`, as a number or as INI text. */
export function createCountSchema(minimum: number, defaultValue: number) {
  return Zod.coerce.number<number>().int().min(minimum).default(defaultValue);
}

/** A boolean, or its INI text `true` or `false`. */
export const flagSchema = Zod.union([
  Zod.boolean(),
  Zod.enum(['true', 'false']).transform((text) => text === 'true'),
]).default(false);

function splitList(text: string): readonly string[] {
  const parts = text.split(',').map((part) => part.trim());
  return parts.filter((part) => part !== '');
}

/** A list, as an array or as comma-separated text. */
export const listSchema = Zod.union([
  Zod.array(Zod.string()).readonly(),
  Zod.string().transform(splitList),
]);
