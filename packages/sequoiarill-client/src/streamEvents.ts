/** Parses the server-sent events of a response in the published format. */
import * as BlockSplitters from './blockSplitter';
import type { ResponseObject } from './outcomes';

/** One event of a response, with the fields that the client uses. */
export interface StreamEvent {
  /** The SSE `id:`, a signed cursor that every router accepts as `Last-Event-ID`. */
  readonly eventId: string | undefined;
  readonly type: string;
  readonly sequenceNumber: number;
  readonly delta: string | undefined;
  readonly response: ResponseObject | undefined;
  /** Set for `error` events. */
  readonly message: string | undefined;
}

interface EventData {
  readonly type: string;
  readonly sequence_number: number;
  readonly delta?: string;
  readonly response?: ResponseObject;
  readonly message?: string;
}

/**
 * Failure: an event, or comments, go on without end and take the memory of the process. The last event of a response has
 * its whole text, a few MB for the longest.
 */
const MAX_CHARACTERS_WITHOUT_EVENT = 16_777_216;

/** Yields events as they arrive; drops an incomplete event at the end of a broken stream. */
export async function* readEvents(
  bytes: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent, void, void> {
  const decoder = new TextDecoder();
  const splitter = BlockSplitters.createBlockSplitter();
  let characters = 0;
  for await (const chunk of bytes) {
    const text = decoder.decode(chunk, { stream: true });
    characters += text.length;
    for (const block of splitter.addText(text)) {
      const event = parseEvent(block);
      if (event !== undefined) {
        characters = 0;
        yield event;
      }
    }
    if (characters > MAX_CHARACTERS_WITHOUT_EVENT) {
      throw new Error(`no event within ${MAX_CHARACTERS_WITHOUT_EVENT} characters`);
    }
  }
}

/** Returns undefined for keep-alive comments and for the final `[DONE]`. */
function parseEvent(block: string): StreamEvent | undefined {
  const lines = block.split('\n');
  const json = findField(lines, 'data');
  if (json === undefined || !json.startsWith('{')) return undefined;
  const data = JSON.parse(json) as EventData;
  return {
    eventId: findField(lines, 'id'),
    type: data.type,
    sequenceNumber: data.sequence_number,
    delta: data.delta,
    response: data.response,
    message: data.message,
  };
}

function findField(lines: readonly string[], name: string): string | undefined {
  const line = lines.find((candidate) => candidate.startsWith(`${name}:`));
  return line?.slice(name.length + 1).trimStart();
}
