/** Which headers pass from one side to the other. */
import * as Kernel from '@sequoiarill/kernel';
import type { ForwardingWire } from '@sequoiarill/types';

/** Name and value as they came, in their order. */
export type RawHeader = readonly [name: string, value: string];

type ForwardingHeaders = Pick<ForwardingWire, 'reservedHeaders' | 'essentialHeaders'>;

/** Set anew for the next connection: this process reads the whole body first. */
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
 * What a caller sent, less what concerns its connection or is not the caller's to say. A caller may
 * name further headers as its connection's own, but not those that tell what is to be run: a request
 * would run without them as something else.
 */
export function selectForwarded(
  headers: readonly RawHeader[],
  { reservedHeaders, essentialHeaders }: ForwardingHeaders,
): readonly RawHeader[] {
  const named = headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map((name) => name.trim().toLowerCase())
    .filter((name) => !essentialHeaders.has(name));
  const left = new Set([...CONNECTION_HEADERS, ...reservedHeaders, ...named]);
  return headers.filter(([name]) => !left.has(name.toLowerCase()));
}

/** Headers of a target's answer that go on to the caller. */
export function selectAnswered(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string | string[]>> {
  const entries = Object.entries(headers).filter(
    (entry): entry is [string, string | string[]] =>
      entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]),
  );
  return Object.fromEntries(entries);
}

/** The single value of a header; undefined when it is missing or stands there twice. */
export function findSingle(headers: readonly RawHeader[], name: string): string | undefined {
  const values = headers.filter(([header]) => header.toLowerCase() === name);
  return values.length === 1 ? values[0]?.[1] : undefined;
}
