/** Text of HTTP/1.1 that stand-ins write to a connection themselves. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

/** The answer that a target sends when nothing is wrong. */
export interface WholeAnswer {
  readonly headers: OutgoingHttpHeaders;
  /** ASCII only. */
  readonly body: string;
}

export function formatHead(status: string, headers: OutgoingHttpHeaders): string {
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`);
  return `HTTP/1.1 ${status}\r\n${fields.join('')}\r\n`;
}

/** Empty for an empty text, which would end the body. */
export function formatChunk(text: string): string {
  return text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Sends the last bytes of an answer whose head was sent, and resets the connection in the same moment. */
export function writeAndReset({ socket }: ServerResponse, bytes: Buffer | string): void {
  // Not by the response, which holds its bytes back for a moment.
  socket?.write(bytes);
  socket?.resetAndDestroy();
}

/** The query of a request target, whose path need not be that of a valid URL. */
export function parseQuery(target: string): URLSearchParams {
  const [, search = ''] = target.split('?', 2);
  return new URLSearchParams(search);
}
