/** Splits a byte stream into lines of a bounded length. */

/** A watch message holds a few values of up to a megabyte, a third longer in base64. */
const MAX_LINE_BYTES = 64 * 1_048_576;
const NEWLINE = 0x0a;

/** Yields each complete line; ends early when one is longer than the bound. */
export async function* readLines(
  stream: AsyncIterable<Uint8Array>,
  maxBytes = MAX_LINE_BYTES,
): AsyncGenerator<string, void, void> {
  let parts: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of stream) {
    let rest = chunk;
    for (let end = rest.indexOf(NEWLINE); end !== -1; end = rest.indexOf(NEWLINE)) {
      yield Buffer.concat([...parts, rest.subarray(0, end)]).toString('utf8');
      parts = [];
      size = 0;
      rest = rest.subarray(end + 1);
    }
    parts.push(rest);
    size += rest.byteLength;
    if (size > maxBytes) return;
  }
}
