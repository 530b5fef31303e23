/** Splits the bytes of an event stream into complete events with their ids. */

export interface EventBlock {
  /** Unchanged, with the empty line that ends the event. */
  readonly bytes: Buffer;
  readonly id?: string;
}

export interface EventBlockSplitter {
  /** Events that are complete now; undefined when an incomplete one exceeds the size limit. */
  readonly addBytes: (bytes: Buffer) => readonly EventBlock[] | undefined;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasPartialEvent: () => boolean;
}

const EVENT_END = '\n\n';
const ID_FIELD = /^id: ?(.*)$/m;
/** Bounds memory; a target that sends more than this in one event is faulty. */
const MAX_EVENT_BYTES = 1_048_576;

export function createEventBlockSplitter(): EventBlockSplitter {
  let buffer: Buffer = Buffer.alloc(0);

  function decodeBlock(bytes: Buffer): EventBlock {
    const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1]?.trim();
    return id === undefined ? { bytes } : { bytes, id };
  }

  return {
    addBytes(bytes) {
      buffer = buffer.length === 0 ? bytes : Buffer.concat([buffer, bytes]);
      const blocks: EventBlock[] = [];
      let start = 0;
      for (let end = buffer.indexOf(EVENT_END); end >= 0; end = buffer.indexOf(EVENT_END, start)) {
        blocks.push(decodeBlock(buffer.subarray(start, end + EVENT_END.length)));
        start = end + EVENT_END.length;
      }
      buffer = buffer.subarray(start);
      return buffer.length > MAX_EVENT_BYTES ? undefined : blocks;
    },
    hasPartialEvent: () => buffer.length > 0,
  };
}
