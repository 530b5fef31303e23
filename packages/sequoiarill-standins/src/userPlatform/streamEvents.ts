/** Events of the streams that the target stand-in sends. */

export const EVENT_COUNT = 12;

/** The events of a request are identical on every engine of a version; each ends with `padBytes` more bytes. */
export function formatEvent(
  requestId: string,
  number: number,
  version?: string,
  padBytes = 0,
): string {
  const writer = version === undefined ? '' : ` of ${version}`;
  const padding = padBytes === 0 ? '' : ` ${'a'.repeat(padBytes)}`;
  return `id: ${number}\ndata: ${requestId} token ${number}${writer}${padding}\n\n`;
}

/** One event of a target that names its version. */
export interface VersionedEvent {
  readonly number: number;
  readonly version: string;
}

const VERSIONED_EVENT = /^id: (\d+)\ndata: \S+ token \d+ of (\S+)\n\n/gm;

/** Lists the complete events of a stream, in the order received. */
export function listVersionedEvents(text: string): readonly VersionedEvent[] {
  return [...text.matchAll(VERSIONED_EVENT)].map(([, number, version = '']) => ({
    number: Number(number),
    version,
  }));
}

export function formatEvents(
  requestId: string,
  from = 1,
  count = EVENT_COUNT,
  version?: string,
  padBytes = 0,
): string {
  const numbers = Array.from({ length: count }, (_one, index) => index + 1);
  return numbers
    .filter((number) => number >= from)
    .map((number) => formatEvent(requestId, number, version, padBytes))
    .join('');
}

/** The events that have an id, without comments: what a caller of a stream counts. */
export function selectNumberedEvents(text: string): string {
  const blocks = text.replaceAll(/^:.*\n/gm, '').split(/(?<=\n\n)/);
  return blocks.filter((block) => /^id:/m.test(block)).join('');
}
