/** Splits a stream of bytes into the data of its server-sent events. */

const DATA_PREFIX = 'data: ';
const EVENT_END = '\n\n';
/** An engine that sends more than this in one event is broken; memory stays bounded. */
const MAX_EVENT_CHARACTERS = 4_194_304;

export interface EventSplitter {
  /** Data of the events that became whole; undefined when one is over-long. */
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
