/** Server-sent events of a response, in the published format. */
import type { ResponseObject } from './outcomes';

/** One event of a response; what is not needed here is left out. */
export interface StreamEvent {
  /** The SSE `id:`, a signed cursor that any router takes as `Last-Event-ID`. */
  readonly eventId: string | undefined;
  readonly type: string;
  readonly sequenceNumber: number;
  readonly delta: string | undefined;
  readonly response: ResponseObject | undefined;
  /** Of an `error` event. */
  readonly message: string | undefined;
}

interface EventData {
  readonly type: string;
  readonly sequence_number: number;
  readonly delta?: string;
  readonly response?: ResponseObject;
  readonly message?: string;
}

const SEPARATOR = '\n\n';

/** Events as they arrive; an unfinished one at the end of a broken stream is dropped. */
export async function* readEvents(
  bytes: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent, void, void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const part of bytes) {
    rest += decoder.decode(part, { stream: true });
    const blocks = rest.split(SEPARATOR);
    rest = blocks.pop() ?? '';
    for (const block of blocks) {
      const event = parseEvent(block);
      if (event !== undefined) yield event;
    }
  }
}

/** Comments, which keep a connection open, and the closing `[DONE]` are no events. */
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
