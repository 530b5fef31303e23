/** Extracts the data of server-sent events from a byte stream. */

const DATA_PREFIX = 'data: ';
const EVENT_END = '\n\n';
/** Bounds the memory of a stream; an engine that sends a longer event is considered broken. */
const MAX_EVENT_CHARACTERS = 4_194_304;

export interface EventSplitter {
  /** Returns the data of the events completed by `bytes`; undefined if an event is too long. */
  readonly addBytes: (bytes: Uint8Array) => readonly string[] | undefined;
}

export function createEventSplitter(): EventSplitter {
  const decoder = new TextDecoder();
  let buffered = '';
  return {
    addBytes(bytes) {
      buffered += decoder.decode(bytes, { stream: true });
      const eventData: string[] = [];
      let start = 0;
      for (
        let end = buffered.indexOf(EVENT_END);
        end >= 0;
        end = buffered.indexOf(EVENT_END, start)
      ) {
        if (buffered.startsWith(DATA_PREFIX, start)) {
          eventData.push(buffered.slice(start + DATA_PREFIX.length, end));
        }
        start = end + EVENT_END.length;
      }
      buffered = buffered.slice(start);
      return buffered.length > MAX_EVENT_CHARACTERS ? undefined : eventData;
    },
  };
}
