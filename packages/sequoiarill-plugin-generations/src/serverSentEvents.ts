/** Extracts the data of server-sent events from a byte stream. */

const DATA_PREFIX = 'data: ';
const EVENT_END = '\n\n';
/** Bounds the memory of a stream; an engine that sends a longer event is considered broken. */
const MAX_EVENT_CHARACTERS = 4_194_304;

export interface EventSplitter {
  /** Returns the data of the events completed by `bytes`; undefined if an event is too long. */
  readonly addBytes: (bytes: Uint8Array) => readonly string[] | undefined;
}

/**
 * A partial event is kept in pieces, and each piece is searched once: joining and searching the whole of it with each read
 * takes a time that grows with the square of its length.
 */
export function createEventSplitter(): EventSplitter {
  const decoder = new TextDecoder();
  let pieces: string[] = [];
  let pieceCharacters = 0;
  /** The first half of the end of an event, which may be cut between two reads. */
  let carried = '';
  return {
    addBytes(bytes) {
      const text = carried + decoder.decode(bytes, { stream: true });
      const eventData: string[] = [];
      let start = 0;
      for (let end = text.indexOf(EVENT_END); end >= 0; end = text.indexOf(EVENT_END, start)) {
        const event = [...pieces, text.slice(start, end)].join('');
        if (event.startsWith(DATA_PREFIX)) eventData.push(event.slice(DATA_PREFIX.length));
        pieces = [];
        pieceCharacters = 0;
        start = end + EVENT_END.length;
      }
      carried = start < text.length && text.endsWith('\n') ? '\n' : '';
      pieces.push(text.slice(start, text.length - carried.length));
      pieceCharacters += text.length - carried.length - start;
      return pieceCharacters > MAX_EVENT_CHARACTERS ? undefined : eventData;
    },
  };
}
