/** Reads bodies of other processes that may send more than is expected of them. */

/**
 * Undefined if the body exceeds `maxBytes`; its connection is closed then, as the rest could go on without end. Rejects
 * if the body breaks off.
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.byteLength;
    if (bytes > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
