/** Selects the headers forwarded between callers and targets. */
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingWire } from '@sequoiarill/types';

/** Name and value, unchanged and in the order received. */
export type RawHeader = readonly [name: string, value: string];

type ForwardingHeaders = Pick<ForwardingWire, 'reservedHeaders' | 'essentialHeaders'>;

/** Headers of one connection; they are set anew for the next one, because this process reads the full body first. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  ...Kernel.HOP_BY_HOP_HEADERS,
  'expect',
  'content-length',
]);

export function listRawHeaders(rawHeaders: readonly string[]): readonly RawHeader[] {
  const headers: RawHeader[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    headers.push([rawHeaders[index] as string, rawHeaders[index + 1] as string]);
  }
  return headers;
}

/**
 * Removes hop-by-hop headers and headers that callers must not set. A caller may list further hop-by-hop
 * headers in `connection`, but not those that define what is run: without them, the request would run as a
 * different one.
 */
export function selectRequestHeaders(
  headers: readonly RawHeader[],
  { reservedHeaders, essentialHeaders }: ForwardingHeaders,
): readonly RawHeader[] {
  const namedByConnection = headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map((name) => name.trim().toLowerCase())
    .filter((name) => !essentialHeaders.has(name));
  const excluded = new Set([...CONNECTION_HEADERS, ...reservedHeaders, ...namedByConnection]);
  return headers.filter(([name]) => !excluded.has(name.toLowerCase()));
}

/** Headers of a target's answer that are forwarded to the caller. */
export function selectResponseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string | string[]>> {
  const entries = Object.entries(headers).filter(
    (entry): entry is [string, string | string[]] =>
      entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]),
  );
  return Object.fromEntries(entries);
}

/** The value of a header; undefined when the header is missing or occurs more than once. */
export function findSingleValue(headers: readonly RawHeader[], name: string): string | undefined {
  const values = headers.filter(([header]) => header.toLowerCase() === name);
  return values.length === 1 ? values[0]?.[1] : undefined;
}
