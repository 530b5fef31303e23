/** Reads a server-sent event stream as a caller does. */

/** Yields the JSON of each event; skips `[DONE]`, which is not a JSON object. */
export async function* readEventStream<Event>(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Event, void, void> {
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const bytes of body) {
    buffered += decoder.decode(bytes, { stream: true });
    const blocks = buffered.split('\n\n');
    buffered = blocks.pop() ?? '';
    for (const block of blocks) {
      const line = block.split('\n').find((candidate) => candidate.startsWith('data: {'));
      if (line !== undefined) yield JSON.parse(line.slice('data: '.length)) as Event;
    }
  }
}
