/** Reads a published event stream as a caller does. */

/** Yields the JSON of each event; the form of `[DONE]` has none. */
export async function* readEventStream<Event>(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Event, void, void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const bytes of body) {
    rest += decoder.decode(bytes, { stream: true });
    const parts = rest.split('\n\n');
    rest = parts.pop() ?? '';
    for (const part of parts) {
      const line = part.split('\n').find((candidate) => candidate.startsWith('data: {'));
      if (line !== undefined) yield JSON.parse(line.slice('data: '.length)) as Event;
    }
  }
}
