/** Splits a byte stream into lines of bounded length. */

/** A watch message holds a few values of up to 1 MB each, which base64 makes a third longer. */
const MAX_LINE_BYTES = 64 * 1_048_576;
const NEWLINE = 0x0a;

/** Yields each complete line. Ends early if a line exceeds `maxBytes`. */
export async function* readLines(
  stream: AsyncIterable<Uint8Array>,
  maxBytes = MAX_LINE_BYTES,
): AsyncGenerator<string, void, void> {
  let chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of stream) {
    let rest = chunk;
    for (let end = rest.indexOf(NEWLINE); end !== -1; end = rest.indexOf(NEWLINE)) {
      yield Buffer.concat([...chunks, rest.subarray(0, end)]).toString('utf8');
      chunks = [];
      size = 0;
      rest = rest.subarray(end + 1);
    }
    chunks.push(rest);
    size += rest.byteLength;
    if (size > maxBytes) return;
  }
}
