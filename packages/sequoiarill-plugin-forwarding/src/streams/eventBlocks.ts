/** Splits the bytes of an event stream into whole events with their ids. */

export interface EventBlock {
  /** Exactly as they came, with the empty line that ends the event. */
  readonly bytes: Buffer;
  readonly id?: string;
}

export interface EventBlockSplitter {
  /** Events that became whole; undefined when one is over-long. */
  readonly addBytes: (bytes: Buffer) => readonly EventBlock[] | undefined;
  /** Whether bytes of an unfinished event are left. */
  readonly hasRest: () => boolean;
}

const EVENT_END = '\n\n';
const ID_FIELD = /^id: ?(.*)$/m;
/** A target that sends more than this in one event is broken; memory stays bounded. */
const MAX_EVENT_BYTES = 1_048_576;

export function createEventBlockSplitter(): EventBlockSplitter {
  let rest: Buffer = Buffer.alloc(0);

  function decodeBlock(bytes: Buffer): EventBlock {
    const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1]?.trim();
    return id === undefined ? { bytes } : { bytes, id };
  }

  return {
    addBytes(bytes) {
      rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const blocks: EventBlock[] = [];
      let start = 0;
      for (let end = rest.indexOf(EVENT_END); end >= 0; end = rest.indexOf(EVENT_END, start)) {
        blocks.push(decodeBlock(rest.subarray(start, end + EVENT_END.length)));
        start = end + EVENT_END.length;
      }
      rest = rest.subarray(start);
      return rest.length > MAX_EVENT_BYTES ? undefined : blocks;
    },
    hasRest: () => rest.length > 0,
  };
}
