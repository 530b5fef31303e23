/** Splits the bytes of an event stream into complete events with their ids. */

export interface EventBlock {
  /** Unchanged, with the empty line that ends the event. */
  readonly bytes: Buffer;
  readonly id?: string;
}

export interface EventBlockSplitter {
  /** Events that are complete now; undefined when an incomplete one, or those without ids, exceed their limit. */
  readonly addBytes: (bytes: Buffer) => readonly EventBlock[] | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasPartialEvent: () => boolean;
  /** Bytes of the incomplete event, which are buffered. */
  readonly countPartialBytes: () => number;
}

const EVENT_END = '\n\n';
const NEWLINE = 0x0a;
const ID_FIELD = /^id: ?(.*)$/m;
/** Bounds memory; a target that sends more than this in one event is faulty. */
const MAX_EVENT_BYTES = 1_048_576;
/**
 * Failure: a target sends events without ids for as long as it is read. They reach the caller and count as progress, but
 * nothing that it asked for comes. Between two numbered events, a few comments and other events are usual.
 */
const MAX_UNNUMBERED_BYTES = 262_144;
const EMPTY = Buffer.alloc(0);

export function createEventBlockSplitter(): EventBlockSplitter {
  /** Begins with the incomplete event; may be longer, so that few copies are made while it grows. */
  let buffer: Buffer = EMPTY;
  let length = 0;
  /** Bytes of events without ids since the last one with an id. */
  let unnumberedBytes = 0;
  let isExceeded = false;

  function decodeBlock(bytes: Buffer): EventBlock {
    const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1]?.trim();
    return id === undefined ? { bytes } : { bytes, id };
  }

  /** Doubles the buffer when it is full: copies are linear in the bytes, and small chunks are not kept as objects. */
  function addPartial(bytes: Buffer): void {
    if (length === 0) {
      buffer = bytes;
      length = bytes.length;
      return;
    }
    const needed = length + bytes.length;
    if (needed > buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(needed, length * 2));
      buffer.copy(larger, 0, 0, length);
      buffer = larger;
    }
    bytes.copy(buffer, length);
    length = needed;
  }

  /** The first event is the only one that may have begun in earlier bytes. */
  function takePartial(end: Buffer): Buffer {
    addPartial(end);
    const bytes = buffer.subarray(0, length);
    buffer = EMPTY;
    length = 0;
    return bytes;
  }

  /** End of the first event in new bytes, whose empty line may have begun in earlier bytes; 0 where there is none. */
  function findFirstEnd(bytes: Buffer): number {
    if (length > 0 && buffer[length - 1] === NEWLINE && bytes[0] === NEWLINE) return 1;
    return findEnd(bytes, 0);
  }

  return {
    addBytes(bytes) {
      const blocks: EventBlock[] = [];
      let start = 0;
      for (let end = findFirstEnd(bytes); end > 0; end = findEnd(bytes, start)) {
        const block = decodeBlock(takePartial(bytes.subarray(start, end)));
        // A single event may be larger than this, so it does not count yet.
        isExceeded ||= block.id === undefined && unnumberedBytes > MAX_UNNUMBERED_BYTES;
        if (isExceeded) return undefined;
        unnumberedBytes = block.id === undefined ? unnumberedBytes + block.bytes.length : 0;
        blocks.push(block);
        start = end;
      }
      if (start < bytes.length) addPartial(bytes.subarray(start));
      return length > MAX_EVENT_BYTES ? undefined : blocks;
    },
    hasPartialEvent: () => length > 0,
    countPartialBytes: () => length,
  };
}

function findEnd(bytes: Buffer, start: number): number {
  const index = bytes.indexOf(EVENT_END, start);
  return index < 0 ? 0 : index + EVENT_END.length;
}
